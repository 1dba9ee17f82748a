import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../base-command';
import { loadGatewaySettings, loadSettings } from '../settings-file';

/** `settings check FILE` */
export class SettingsCheck extends BaseCommand {
  static override summary = 'Check a settings file and report every finding with its place.';
  static override examples = ['pollendrum settings check instance.json'];
  static override flags = {
    gateway: Flags.boolean({ description: 'the file holds settings of a gateway' }),
  };
  static override args = { file: Args.file({ required: true, description: 'settings file' }) };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(SettingsCheck);
    if (flags.gateway) {
      const settings = loadGatewaySettings(args.file);
      this.printResult(flags.json, { ok: true, settings }, `${args.file}: no findings`);
      return;
    }
    const settings = loadSettings(args.file);
    const shown = { ...settings, clusterKey: '(secret)' };
    this.printResult(flags.json, { ok: true, settings: shown }, `${args.file}: no findings`);
  }
}
