import { readFileSync } from 'node:fs';
import { Args, Flags } from '@oclif/core';
import { BaseCommand, connectionFlags } from '../base-command';
import { ExitCode } from '../exit-codes';
import { formatExplanation } from '../reports/explanation';
import { explainFromLogs, formatLogExplanation } from '../reports/log-explanation';
import { parseLogLine } from '../reports/log-lines';

const STANDARD_INPUT = 0;

/** `explain REQUEST-ID` */
export class Explain extends BaseCommand {
  static override summary =
    'Explain how a request ended: outcome, cause with evidence, time at each hop.';
  static override examples = [
    'pollendrum explain 4f1c… --settings instance.json',
    'pollendrum explain 4f1c… --log edge-1.log --log edge-2.log',
    'pollendrum explain 4f1c… --log - < edge-1.log',
  ];
  static override args = {
    requestId: Args.string({
      required: true,
      description: "request id, from an answer's header or the caller",
    }),
  };
  static override flags = {
    ...connectionFlags,
    log: Flags.string({
      multiple: true,
      description: 'log of an instance; - reads standard input; may be given several times',
    }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Explain);
    if (flags.log !== undefined) {
      this.#explainFromLogs(args.requestId, flags.log, flags.json);
      return;
    }
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

  #explainFromLogs(requestId: string, files: readonly string[], asJson: boolean): void {
    const lines = files
      .flatMap((file) => this.#readLog(file).split('\n'))
      .flatMap((text) => parseLogLine(text) ?? []);
    const explanations = explainFromLogs(lines, requestId);
    if (explanations.length === 0) {
      const text = `no line of request ${requestId} among ${lines.length} log lines`;
      this.printResult(asJson, { explanations }, text);
      this.exit(ExitCode.notFound);
    }
    const text = explanations.map(formatLogExplanation).join('\n\n');
    this.printResult(asJson, { explanations }, text);
  }

  #readLog(file: string): string {
    try {
      return readFileSync(file === '-' ? STANDARD_INPUT : file, 'utf8');
    } catch (error) {
      this.error(`${file}: ${String(error)}`, { exit: ExitCode.usage });
    }
  }
}
