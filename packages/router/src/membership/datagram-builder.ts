import { GossipQueue } from '@pollendrum/policy';
import type { Datagram, MembershipUpdate, MemberUpdate } from '@pollendrum/protocol';
import { MAX_DATAGRAM_BYTES, measureDatagram, measureUpdate } from './datagram-codec';

const MAX_UPDATES_PER_DATAGRAM = 6;

export interface DatagramContent {
  self: MemberUpdate;
  sequence: number;
  bundleNumber: number;
  /** Updates for this receiver; they are added before gossip if they fit. */
  priorityUpdates: readonly MemberUpdate[];
  memberCount: number;
}

/** Kind of the datagram; the receiver of an indirect probe must probe its `target`. */
export type DatagramPurpose =
  { kind: 'probe' | 'probe-ack' } | { kind: 'indirect-probe'; target: MemberUpdate };

/** Creates the queue of the updates that datagrams carry beside their purpose. */
export function createGossip(): GossipQueue<MembershipUpdate> {
  return new GossipQueue({
    maxUpdatesPerDatagram: MAX_UPDATES_PER_DATAGRAM,
    measure: measureUpdate,
  });
}

/** Builds a datagram and fills it with updates up to the size limit. */
export function buildDatagram(
  purpose: DatagramPurpose,
  content: DatagramContent,
  gossip: GossipQueue<MembershipUpdate>,
  nowMs: number,
): Datagram {
  const datagram = buildEmpty(purpose, content);
  let remainingBytes = MAX_DATAGRAM_BYTES - measureDatagram(datagram);
  const excludedKeys = new Set<string>();
  for (const update of content.priorityUpdates) {
    const size = measureUpdate(update);
    if (size > remainingBytes) continue;
    remainingBytes -= size;
    datagram.updates.push(update);
    excludedKeys.add(toMemberKey(update.instanceId));
  }
  datagram.updates.push(
    ...gossip.takeUpdates(remainingBytes, content.memberCount, excludedKeys, nowMs),
  );
  return datagram;
}

/** Returns the key of a member's state in the gossip queue. */
export function toMemberKey(instanceId: string): string {
  return `member ${instanceId}`;
}

function buildEmpty(purpose: DatagramPurpose, content: DatagramContent): Datagram {
  const { self, sequence, bundleNumber } = content;
  const common = { sequence, from: self.instanceId, bundleNumber, updates: [] };
  if (purpose.kind !== 'indirect-probe') return { kind: purpose.kind, ...common };
  const { instanceId, address, peerPort } = purpose.target;
  return {
    ...{ kind: purpose.kind, ...common },
    ...{ targetInstanceId: instanceId, targetAddress: address, targetPort: peerPort },
  };
}
