import type { SendCount } from '@pollendrum/policy';
import { decodeCbor, encodeCbor, isValidSendCountMessage } from '@pollendrum/protocol';

/** Requests that an instance has sent to servers that name limits. */
export interface SendCounts {
  /** Identifies the start of the instance, with which its counts begin. */
  peerId: string;
  counts: readonly SendCount[];
}

export type DecodedSendCounts =
  { kind: 'counts'; counts: SendCounts } | { kind: 'invalid'; reason: unknown };

/** Counts that a datagram holds without being split by networks. */
export const MAX_COUNTS_PER_MESSAGE = 24;

export function encodeSendCounts(
  instanceId: string,
  incarnation: string,
  counts: readonly SendCount[],
): Buffer {
  const entries = counts.map(({ serverKey, count }) => [serverKey, count]);
  return encodeCbor(['sends', instanceId, incarnation, entries]);
}

/** Decodes a datagram of a peer, which may hold any bytes. */
export function decodeSendCounts(bytes: Buffer): DecodedSendCounts {
  let message: unknown;
  try {
    message = decodeCbor(bytes);
  } catch (error) {
    return { kind: 'invalid', reason: String(error) };
  }
  if (!isValidSendCountMessage(message)) {
    return { kind: 'invalid', reason: isValidSendCountMessage.errors };
  }
  const [, instanceId, incarnation, entries] = message;
  const counts = entries.map(([serverKey, count]) => ({ serverKey, count }));
  return { kind: 'counts', counts: { peerId: `${instanceId} ${incarnation}`, counts } };
}
