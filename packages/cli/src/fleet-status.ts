import type { InstanceStatus } from '@pollendrum/router';
import { OperatorClient } from './operator-client';

/** Statuses of the members that one instance knows. */
export interface FleetStatus {
  instances: InstanceStatus[];
  /** Base URLs of members that did not answer. */
  unreachable: string[];
}

/**
 * Asks the given instance for its members, then each member for its status.
 * @throws OperatorRequestError when the given instance does not answer.
 */
export async function collectFleetStatus(client: OperatorClient): Promise<FleetStatus> {
  const first = await client.readJson<InstanceStatus>('/admin/status');
  const { protocol } = new URL(client.instanceUrl);
  const others = (first?.members ?? [])
    .filter(({ instanceId }) => instanceId !== first?.instanceId)
    .map(({ address, httpPort }) => `${protocol}//${address}:${httpPort}`);
  const answers = await Promise.all(others.map((url) => fetchStatus(url, client.clusterKey)));
  const answered = answers.filter((status) => status !== undefined);
  return {
    instances: first === undefined ? answered : [first, ...answered],
    unreachable: others.filter((_url, index) => answers[index] === undefined),
  };
}

async function fetchStatus(url: string, clusterKey: string): Promise<InstanceStatus | undefined> {
  try {
    return await new OperatorClient(url, clusterKey).readJson<InstanceStatus>('/admin/status');
  } catch {
    return undefined;
  }
}
