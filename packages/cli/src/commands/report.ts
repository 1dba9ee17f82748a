import { Flags } from '@oclif/core';
import type { OutcomeRecord } from '@pollendrum/protocol';
import { BaseCommand, connectionFlags } from '../base-command';
import { OperatorClient } from '../operator-client';
import { computeAttainmentReport, formatAttainmentReport } from '../reports/attainment-report';

const MS_PER_MINUTE = 60_000;
const DEFAULT_WINDOW_MINUTES = 60;

interface StatusMembers {
  members: { address: string; httpPort: number; instanceId: string }[];
}

/** `report` */
export class Report extends BaseCommand {
  static override summary =
    'Report attainment by class, goodput, wasted work and causes of all live instances.';
  static override examples = ['pollendrum report --settings instance.json --minutes 15'];
  static override flags = {
    ...connectionFlags,
    minutes: Flags.integer({
      default: DEFAULT_WINDOW_MINUTES,
      min: 1,
      max: 60,
      description: 'length of the time window in minutes, at most 60',
    }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Report);
    const client = this.createOperatorClient(flags);
    const toMs = Date.now();
    const fromMs = toMs - flags.minutes * MS_PER_MINUTE;
    const status = await client.readJson<StatusMembers>('/admin/status');
    const clients = (status?.members ?? []).map(
      (member) =>
        new OperatorClient(`http://${member.address}:${member.httpPort}`, client.clusterKey),
    );
    const { records, unreachable } = await this.collectRecords(clients, fromMs);
    const report = computeAttainmentReport(records, fromMs, toMs);
    const note = unreachable.length > 0 ? `\n\nnot reached: ${unreachable.join(', ')}` : '';
    this.printResult(flags.json, { ...report, unreachable }, formatAttainmentReport(report) + note);
  }

  private async collectRecords(clients: readonly OperatorClient[], fromMs: number) {
    const records: OutcomeRecord[] = [];
    const unreachable: string[] = [];
    for (const client of clients) {
      try {
        records.push(...(await client.listOutcomes(fromMs)));
      } catch {
        unreachable.push(client.instanceUrl);
      }
    }
    return { records, unreachable };
  }
}
