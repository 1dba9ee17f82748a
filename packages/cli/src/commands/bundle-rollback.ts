import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../base-command';
import { loadBundleFile, writeJsonFile } from '../bundles/bundle-files';

/** `bundle rollback FILE` */
export class BundleRollback extends BaseCommand {
  static override summary =
    'Make a new bundle with the content of an older one; sign and accept it as usual.';
  static override examples = [
    'pollendrum bundle rollback bundle-6.json --number 8 --out bundle-8.json',
  ];
  static override args = {
    file: Args.file({ required: true, description: 'bundle to return to' }),
  };
  static override flags = {
    number: Flags.integer({
      required: true,
      min: 2,
      description: 'number of the new bundle: one above the one in force',
    }),
    out: Flags.file({ required: true, description: 'file to write' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BundleRollback);
    const { bundle } = loadBundleFile(args.file);
    const description = `Rollback to bundle ${bundle.number}: ${bundle.description}`;
    writeJsonFile(flags.out, { ...bundle, number: flags.number, description });
    const text = `wrote ${flags.out}: bundle ${flags.number} with the content of ${bundle.number}; sign and accept it next`;
    this.printResult(
      flags.json,
      { file: flags.out, number: flags.number, from: bundle.number },
      text,
    );
  }
}
