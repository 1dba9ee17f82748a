import { Flags } from '@oclif/core';
import { startInstance, watchSignals } from '@pollendrum/router';
import { BaseCommand } from '../base-command';
import { ExitCode } from '../exit-codes';
import { loadSettings } from '../settings-file';

/** `serve` */
export class Serve extends BaseCommand {
  static override summary =
    'Run an instance until SIGTERM, then stop without cutting off requests.';
  static override examples = ['pollendrum serve --settings instance.json'];
  static override flags = {
    settings: Flags.file({
      char: 's',
      required: true,
      description: 'settings file of the instance',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Serve);
    const settings = loadSettings(flags.settings);
    const started = await startInstance(settings, settings.clusterKey).catch((error: unknown) => {
      this.error(`the instance could not start: ${String(error)}`, { exit: ExitCode.unavailable });
    });
    watchSignals(started.instance, process);
    started.telemetry.log.info('instance is listening', {
      instanceId: settings.instanceId,
      httpPort: started.instance.entry.port,
      peerPort: started.peerPort,
    });
    process.stdout.write(`${JSON.stringify({ ready: true, port: started.instance.entry.port })}\n`);
  }
}
