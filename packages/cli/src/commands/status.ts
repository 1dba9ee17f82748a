import { BaseCommand, connectionFlags } from '../base-command';
import { collectFleetStatus } from '../fleet-status';
import { formatInstances, formatShards } from '../reports/status-tables';

/** `status` */
export class Status extends BaseCommand {
  static override summary =
    'Show instances, the bundle in force on each, owners of shards and backend servers.';
  static override examples = ['pollendrum status --settings instance.json'];
  static override flags = connectionFlags;

  async run(): Promise<void> {
    const { flags } = await this.parse(Status);
    const fleet = await collectFleetStatus(this.createOperatorClient(flags));
    const [first] = fleet.instances;
    const shards = first === undefined ? '' : `\n\n${formatShards(first)}`;
    this.printResult(flags.json, fleet, formatInstances(fleet) + shards);
  }
}
