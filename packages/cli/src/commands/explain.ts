import { Args } from '@oclif/core';
import { BaseCommand, connectionFlags } from '../base-command';
import { ExitCode } from '../exit-codes';
import { formatExplanation } from '../reports/explanation';

/** `explain REQUEST-ID` */
export class Explain extends BaseCommand {
  static override summary =
    'Explain how a request ended: outcome, cause with evidence, time at each hop.';
  static override examples = ['pollendrum explain 4f1c… --settings instance.json'];
  static override args = {
    requestId: Args.string({ required: true, description: 'value of the X-Request-Id header' }),
  };
  static override flags = connectionFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Explain);
    const records = await this.createOperatorClient(flags).findOutcomes(args.requestId);
    if (records.length === 0) {
      this.printResult(
        flags.json,
        { records },
        `no record of request ${args.requestId} in the last hour`,
      );
      this.exit(ExitCode.notFound);
    }
    this.printResult(flags.json, { records }, records.map(formatExplanation).join('\n\n'));
  }
}
