import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Hello } from '@pollendrum/protocol';
import type { TrafficCounter } from '../telemetry/traffic-counter';

/** Version of the messages between instances; peers with another version are refused. */
export const LINK_PROTOCOL_VERSION = 1;

const NONCE_BYTES = 16;

// The step is part of the proof, so that a proof cannot be reflected in another step.
type HandshakeStep = 'open' | 'accept' | 'confirm';

export interface HandshakeOptions {
  instanceId: string;
  failureDomain: string;
  clusterKey: string;
  /** Counts frames if set. */
  traffic?: TrafficCounter;
}

/** Identity and nonce from a hello with a valid proof. */
export interface VerifiedHello {
  instanceId: string;
  nonce: string;
}

/** Returns a random nonce in hexadecimal. */
export function generateNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/**
 * Builds a hello. Its proof contains the sender's nonce and an HMAC of the step, both instance ids
 * and both nonces; in the first hello, the peer's nonce is empty.
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

/** Returns undefined if the version differs or the proof does not match cluster key and step. */
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
  // JSON delimits the fields unambiguously, whatever characters an instance id contains.
  return createHmac('sha256', clusterKey).update(JSON.stringify(fields)).digest('hex');
}
