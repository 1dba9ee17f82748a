import { Args, Flags } from '@oclif/core';
import { BundleStore, createPlatformClient } from '@pollendrum/platform';
import type { AcceptResult } from '@pollendrum/platform';
import { BaseCommand } from '../base-command';
import { loadEnvelopeFile } from '../bundles/bundle-files';
import { ExitCode } from '../exit-codes';
import { loadSettings } from '../settings-file';

/** `bundle accept FILE` */
export class BundleAccept extends BaseCommand {
  static override summary = 'Put a signed bundle in force; of two operators who race, one wins.';
  static override examples = [
    'pollendrum bundle accept bundle-7.signed.json --operator ana --settings instance.json',
  ];
  static override args = { file: Args.file({ required: true, description: 'signed bundle' }) };
  static override flags = {
    operator: Flags.string({ required: true, description: 'name of the operator who accepts' }),
    settings: Flags.file({
      char: 's',
      required: true,
      description: 'settings file of an instance',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BundleAccept);
    const envelope = loadEnvelopeFile(args.file);
    const { platformUrl, trustedOperators, requiredSignatures } = loadSettings(flags.settings);
    await using client = createPlatformClient({ url: platformUrl });
    const store = new BundleStore({ client, trustedOperators, requiredSignatures });
    process.stderr.write('accepting the bundle; waiting for the platform\n');
    this.reportResult(flags.json, await store.acceptBundle(envelope, flags.operator));
  }

  private reportResult(asJson: boolean, result: AcceptResult): void {
    switch (result.kind) {
      case 'accepted':
        this.printResult(
          asJson,
          result,
          `bundle ${result.head.number} is accepted (${result.head.digest})`,
        );
        return;
      case 'invalid':
        this.failWithFindings(asJson, result.findings);
        return;
      case 'conflict': {
        const { number, digest, acceptedBy, signers } = result.winner;
        const text = `conflict: bundle ${number} (${digest}) was accepted by ${acceptedBy}, signed by ${signers.join(', ')}; number yours ${number + 1} and try again`;
        this.printResult(asJson, result, text);
        this.exit(ExitCode.conflict);
        return;
      }
      case 'unknown': {
        const text = `the platform did not answer "${result.operation}" for ${Math.round(result.elapsedMs)} ms; the bundle may have been accepted: run bundle status, or accept again, which is safe`;
        this.printResult(asJson, result, text);
        this.exit(ExitCode.unavailable);
      }
    }
  }
}
