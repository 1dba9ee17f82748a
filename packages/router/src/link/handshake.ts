import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Hello } from '@pollendrum/protocol';
import type { TrafficCounter } from '../telemetry/traffic-counter';

/** Version of the messages between instances; other versions are refused. */
export const LINK_PROTOCOL_VERSION = 1;

const NONCE_BYTES = 16;

// Each step has its own label, so that no proof can be reflected as the answer of another step.
type HandshakeStep = 'open' | 'accept' | 'confirm';

export interface HandshakeOptions {
  instanceId: string;
  failureDomain: string;
  clusterKey: string;
  /** Counts frames; undefined: they are not counted. */
  traffic?: TrafficCounter;
}

/** A hello whose proof was checked. */
export interface VerifiedHello {
  instanceId: string;
  nonce: string;
}

/** Returns a fresh nonce, hex. */
export function generateNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/**
 * Builds a hello. Its proof is the sender's nonce and an HMAC over the step, both instance ids and
 * both nonces; the nonce of the other side is empty in the first hello.
 */
export function buildHello(
  options: HandshakeOptions,
  step: HandshakeStep,
  peerInstanceId: string,
  nonce: string,
  peerNonce: string,
): Hello {
  const { instanceId, failureDomain, clusterKey } = options;
  const code = computeProof(clusterKey, [step, instanceId, peerInstanceId, nonce, peerNonce]);
  return {
    ...{ kind: 'hello', instanceId, protocolVersion: LINK_PROTOCOL_VERSION, failureDomain },
    proof: `${nonce}:${code}`,
  };
}

/** Returns undefined when the version differs or the proof was not made with the cluster key for this step. */
export function verifyHello(
  options: HandshakeOptions,
  step: HandshakeStep,
  hello: Hello,
  ownNonce: string,
): VerifiedHello | undefined {
  if (hello.protocolVersion !== LINK_PROTOCOL_VERSION) return undefined;
  const [nonce = '', code = ''] = hello.proof.split(':');
  if (nonce.length !== NONCE_BYTES * 2) return undefined;
  const fields = [step, hello.instanceId, options.instanceId, nonce, ownNonce];
  const expected = Buffer.from(computeProof(options.clusterKey, fields));
  const received = Buffer.from(code);
  if (received.length !== expected.length || !timingSafeEqual(received, expected)) return undefined;
  return { instanceId: hello.instanceId, nonce };
}

function computeProof(clusterKey: string, fields: readonly string[]): string {
  // JSON keeps the fields apart whatever characters an instance id holds.
  return createHmac('sha256', clusterKey).update(JSON.stringify(fields)).digest('hex');
}
