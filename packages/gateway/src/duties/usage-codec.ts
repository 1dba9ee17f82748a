import type { ToldWindow } from '@pollendrum/policy';
import { decodeCbor, encodeCbor, isValidUsageMessage } from '@pollendrum/protocol';
import type { KnownHolder } from './duty-lease';

/** Datagram about the requests that servers began to run. */
export interface UsageDatagram {
  instanceId: string;
  /** Start of the sender's process. */
  incarnation: string;
  /** Number of the datagram, or of the acknowledged one. */
  sequence: number;
  /** Sender's time in milliseconds since the start of 1970. */
  unixMs: number;
  /** Holder of the duties as far as the sender knows. */
  holder: KnownHolder | undefined;
  content:
    | { kind: 'counts'; firstWindowId: number; windows: readonly ToldWindow[] }
    | { kind: 'ack'; ackedIncarnation: string };
}

export type DecodedUsage =
  { kind: 'datagram'; datagram: UsageDatagram } | { kind: 'invalid'; reason: unknown };

/** Bytes of counts in a datagram, so that networks do not split it. */
const MAX_COUNT_BYTES = 1_000;
/** Bytes that a window and a team's count take at most beside the team's name. */
const WINDOW_BYTES = 24;
const COUNT_BYTES = 8;

/** Encodes a datagram as an array of seven items. */
export function encodeUsageDatagram(datagram: UsageDatagram): Buffer {
  const { instanceId, incarnation, sequence, unixMs, holder, content } = datagram;
  const knownHolder = holder === undefined ? null : [holder.ownerId, holder.token];
  const head = [instanceId, incarnation, sequence, unixMs, knownHolder];
  switch (content.kind) {
    case 'counts': {
      const windows = content.windows.map(({ windowId, isClosed, total, counts }) => [
        ...[windowId, isClosed, total, counts],
      ]);
      return encodeCbor(['counts', ...head, [content.firstWindowId, windows]]);
    }
    case 'ack':
      return encodeCbor(['ack', ...head, [content.ackedIncarnation]]);
  }
}

/** Decodes a datagram of a peer, which may hold any bytes. */
export function decodeUsageDatagram(bytes: Buffer): DecodedUsage {
  let message: unknown;
  try {
    message = decodeCbor(bytes);
  } catch (error) {
    return { kind: 'invalid', reason: String(error) };
  }
  if (!isValidUsageMessage(message)) {
    return { kind: 'invalid', reason: isValidUsageMessage.errors };
  }
  const [kind, instanceId, incarnation, sequence, unixMs, knownHolder, body] = message;
  const holder =
    knownHolder === null ? undefined : { ownerId: knownHolder[0], token: knownHolder[1] };
  const head = { instanceId, incarnation, sequence, unixMs, holder };
  if (kind === 'ack') {
    const content = { kind: 'ack', ackedIncarnation: body[0] } as const;
    return { kind: 'datagram', datagram: { ...head, content } };
  }
  const [firstWindowId, told] = body;
  const windows = told.map(([windowId, isClosed, total, counts]) => ({
    ...{ windowId, isClosed, total, counts },
  }));
  const content = { kind: 'counts', firstWindowId, windows } as const;
  return { kind: 'datagram', datagram: { ...head, content } };
}

/** Takes as many counts as one datagram holds, the first windows first. */
export function takeDatagramPart(windows: readonly ToldWindow[]): ToldWindow[] {
  let bytes = 0;
  const part: ToldWindow[] = [];
  for (const window of windows) {
    bytes += WINDOW_BYTES;
    const counts = window.counts.filter(([team], index) => {
      bytes += Buffer.byteLength(team) + COUNT_BYTES;
      return bytes <= MAX_COUNT_BYTES || (part.length === 0 && index === 0);
    });
    if (counts.length > 0 || window.counts.length === 0) part.push({ ...window, counts });
    if (bytes > MAX_COUNT_BYTES) break;
  }
  return part;
}
