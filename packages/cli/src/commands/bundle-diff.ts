import { Args } from '@oclif/core';
import { BaseCommand } from '../base-command';
import { diffBundles, formatChange } from '../bundles/bundle-diff';
import { loadBundleFile } from '../bundles/bundle-files';

/** `bundle diff BEFORE AFTER` */
export class BundleDiff extends BaseCommand {
  static override summary = 'List the differences between two bundle files for review.';
  static override examples = ['pollendrum bundle diff bundle-6.json bundle-7.json'];
  static override args = {
    before: Args.file({ required: true, description: 'older bundle file' }),
    after: Args.file({ required: true, description: 'newer bundle file' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BundleDiff);
    const changes = diffBundles(
      loadBundleFile(args.before).bundle,
      loadBundleFile(args.after).bundle,
    );
    const text = changes.length > 0 ? changes.map(formatChange).join('\n') : 'no differences';
    this.printResult(flags.json, { changes }, text);
  }
}
