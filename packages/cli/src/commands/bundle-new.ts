import { createHash } from 'node:crypto';
import { Args, Flags } from '@oclif/core';
import { createStarterBundle } from '@pollendrum/platform';
import { BaseCommand } from '../base-command';
import { writeJsonFile } from '../bundles/bundle-files';

/** `bundle new FILE` */
export class BundleNew extends BaseCommand {
  static override summary = 'Write a small valid bundle to start from.';
  static override examples = ['pollendrum bundle new bundle-1.json --team-key "$KEY"'];
  static override args = { file: Args.file({ required: true, description: 'file to write' }) };
  static override flags = {
    number: Flags.integer({ default: 1, min: 1, description: 'number of the bundle' }),
    'team-key': Flags.string({
      required: true,
      description: 'bearer key of the sample team; only its hash is written',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BundleNew);
    const keySha256 = createHash('sha256').update(flags['team-key']).digest('hex');
    writeJsonFile(args.file, createStarterBundle(flags.number, keySha256));
    this.printResult(flags.json, { file: args.file, number: flags.number }, `wrote ${args.file}`);
  }
}
