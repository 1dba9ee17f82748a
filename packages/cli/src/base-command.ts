import { Command, Flags } from '@oclif/core';
import { formatFinding, FindingsError } from '@pollendrum/protocol';
import type { Finding } from '@pollendrum/protocol';
import { ExitCode } from './exit-codes';
import { OperatorClient, OperatorRequestError, resolveConnection } from './operator-client';
import type { ConnectionFlags } from './operator-client';

/** Flags that reach a running system. */
export const connectionFlags = {
  settings: Flags.file({ char: 's', description: 'settings file of an instance' }),
  url: Flags.string({ description: 'base URL of an instance, for example http://127.0.0.1:8080' }),
  'cluster-key-file': Flags.file({ description: 'file with the cluster key' }),
  'platform-url': Flags.string({ description: 'base URL of the platform service' }),
};

/** What the commands share: the JSON switch, findings and exit codes. */
export abstract class BaseCommand extends Command {
  static override baseFlags = {
    json: Flags.boolean({ description: 'print one JSON object for programs' }),
  };

  /** Prints the value as JSON, or the text for people. */
  protected printResult(asJson: boolean, value: unknown, text: string): void {
    process.stdout.write(asJson ? `${JSON.stringify(value, null, 2)}\n` : `${text}\n`);
  }

  /** Prints all findings and ends the command with the exit code for invalid input. */
  protected failWithFindings(asJson: boolean, findings: readonly Finding[]): never {
    const text = findings.map(formatFinding).join('\n');
    this.printResult(asJson, { findings }, `${text}\n${findings.length} finding(s)`);
    this.exit(ExitCode.invalid);
  }

  /** Connects to the instance that the flags name; ends the command when they name none. */
  protected createOperatorClient(flags: ConnectionFlags): OperatorClient {
    const { instanceUrl, clusterKey } = resolveConnection(flags);
    if (instanceUrl === undefined || clusterKey === undefined || clusterKey === '') {
      this.error('name an instance: --settings FILE, or --url URL with --cluster-key-file FILE', {
        exit: ExitCode.usage,
      });
    }
    return new OperatorClient(instanceUrl, clusterKey);
  }

  protected override async catch(error: Error & { exitCode?: number }): Promise<void> {
    if (error instanceof FindingsError) {
      this.failWithFindings(this.argv.includes('--json'), error.findings);
    }
    if (error instanceof OperatorRequestError)
      this.error(error.message, { exit: ExitCode.unavailable });
    await super.catch(error);
  }
}
