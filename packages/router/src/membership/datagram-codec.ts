import { createHmac, timingSafeEqual } from 'node:crypto';
import {
  decodeCbor,
  encodeCbor,
  FramingError,
  isValidDatagram,
  type Datagram,
  type MembershipUpdate,
} from '@pollendrum/protocol';

/** Maximum size of a datagram in bytes, including the authentication code. */
export const MAX_DATAGRAM_BYTES = 400;
/** Length of the truncated HMAC-SHA256 in bytes. */
export const AUTH_CODE_BYTES = 16;

// Fields are encoded by position, because their names would take more than half of a datagram.
const DATAGRAM_KINDS = ['probe', 'probe-ack', 'indirect-probe'] as const;
const UPDATE_KINDS = ['member', 'crash', 'crash-cleared'] as const;
const MEMBER_STATES = ['alive', 'suspect', 'leaving', 'dead'] as const;

/** Why a received datagram was discarded. */
export type DatagramFault = 'too-large' | 'not-authentic' | 'malformed';

export type DecodedDatagram =
  { kind: 'valid'; datagram: Datagram } | { kind: 'invalid'; fault: DatagramFault };

/** Encodes a datagram and appends its authentication code, computed with the cluster key. */
export function encodeDatagram(datagram: Datagram, clusterKey: string): Buffer {
  const payload = encodeCbor(toCompactDatagram(datagram));
  return Buffer.concat([payload, computeAuthCode(payload, clusterKey)]);
}

/** Verifies the authentication code before decoding the payload, then validates the datagram. */
export function decodeDatagram(bytes: Buffer, clusterKey: string): DecodedDatagram {
  if (bytes.length > MAX_DATAGRAM_BYTES) return { kind: 'invalid', fault: 'too-large' };
  if (bytes.length <= AUTH_CODE_BYTES) return { kind: 'invalid', fault: 'malformed' };
  const payload = bytes.subarray(0, bytes.length - AUTH_CODE_BYTES);
  const code = bytes.subarray(bytes.length - AUTH_CODE_BYTES);
  if (!timingSafeEqual(code, computeAuthCode(payload, clusterKey))) {
    return { kind: 'invalid', fault: 'not-authentic' };
  }
  try {
    const datagram = parseCompactDatagram(decodeCbor(payload));
    if (isValidDatagram(datagram)) return { kind: 'valid', datagram };
  } catch (error) {
    if (!(error instanceof FramingError)) throw error;
  }
  return { kind: 'invalid', fault: 'malformed' };
}

/** Returns the encoded size of a datagram in bytes, including the authentication code. */
export function measureDatagram(datagram: Datagram): number {
  return encodeCbor(toCompactDatagram(datagram)).length + AUTH_CODE_BYTES;
}

/** Returns the number of bytes that an update adds to a datagram. */
export function measureUpdate(update: MembershipUpdate): number {
  return encodeCbor(toCompactUpdate(update)).length;
}

function computeAuthCode(payload: Buffer, clusterKey: string): Buffer {
  return createHmac('sha256', clusterKey).update(payload).digest().subarray(0, AUTH_CODE_BYTES);
}

function toCompactDatagram(datagram: Datagram): unknown[] {
  const compact: unknown[] = [
    DATAGRAM_KINDS.indexOf(datagram.kind),
    datagram.sequence,
    datagram.from,
    datagram.bundleNumber,
    datagram.updates.map(toCompactUpdate),
  ];
  if (datagram.kind === 'indirect-probe') {
    compact.push(datagram.targetInstanceId, datagram.targetAddress, datagram.targetPort);
  }
  return compact;
}

function toCompactUpdate(update: MembershipUpdate): unknown[] {
  const kind = UPDATE_KINDS.indexOf(update.kind);
  switch (update.kind) {
    case 'member':
      return [
        kind,
        update.instanceId,
        update.address,
        update.peerPort,
        update.adminPort,
        update.failureDomain,
        update.region,
        update.incarnation,
        MEMBER_STATES.indexOf(update.state),
      ];
    case 'crash':
      return [kind, update.fingerprint, update.serverId, Math.round(update.ageMs)];
    case 'crash-cleared':
      return [kind, update.fingerprint, Math.round(update.ageMs)];
  }
}

function parseCompactDatagram(value: unknown): unknown {
  if (!Array.isArray(value)) return undefined;
  const [kindIndex, sequence, from, bundleNumber, updates, ...target] = value as unknown[];
  if (!Array.isArray(updates)) return undefined;
  const kind = DATAGRAM_KINDS[Number(kindIndex)];
  const common = { kind, sequence, from, bundleNumber, updates: updates.map(parseCompactUpdate) };
  if (kind !== 'indirect-probe') return common;
  const [targetInstanceId, targetAddress, targetPort] = target;
  return { ...common, targetInstanceId, targetAddress, targetPort };
}

function parseCompactUpdate(value: unknown): unknown {
  if (!Array.isArray(value)) return undefined;
  const [kindIndex, ...fields] = value as unknown[];
  const kind = UPDATE_KINDS[Number(kindIndex)];
  switch (kind) {
    case 'member': {
      const [instanceId, address, peerPort, adminPort, failureDomain, region, incarnation] = fields;
      const state = MEMBER_STATES[Number(fields[7])];
      return {
        ...{ kind, instanceId, address, peerPort, adminPort },
        ...{ failureDomain, region, incarnation, state },
      };
    }
    case 'crash':
      return { kind, fingerprint: fields[0], serverId: fields[1], ageMs: fields[2] };
    case 'crash-cleared':
      return { kind, fingerprint: fields[0], ageMs: fields[1] };
    default:
      return undefined;
  }
}
