import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Hello } from '@pollendrum/protocol';
import type { TrafficCounter } from '../telemetry/traffic-counter';

/** Version of the messages between instances; peers with another version are refused. */
export const LINK_PROTOCOL_VERSION = 1;

const NONCE_BYTES = 16;

// The step is part of the authentication code, so that a proof cannot be reflected in another step.
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
 * Builds a hello. Its proof contains the sender's nonce and an authentication code: an HMAC of the
 * step, both instance ids and both nonces. In the first hello, the peer's nonce is empty.
 */
export function buildHello(
  options: HandshakeOptions,
  step: HandshakeStep,
  peerInstanceId: string,
  nonce: string,
  peerNonce: string,
): Hello {
  const { instanceId, failureDomain, clusterKey } = options;
  const authCode = computeAuthCode(clusterKey, [
    step,
    instanceId,
    peerInstanceId,
    nonce,
    peerNonce,
  ]);
  return {
    ...{ kind: 'hello', instanceId, protocolVersion: LINK_PROTOCOL_VERSION, failureDomain },
    proof: `${nonce}:${authCode}`,
  };
}

/** Returns undefined if the version differs or the proof does not match cluster key and step. */
export function verifyHello(
  options: HandshakeOptions,
  step: HandshakeStep,
  hello: Hello,
  localNonce: string,
): VerifiedHello | undefined {
  if (hello.protocolVersion !== LINK_PROTOCOL_VERSION) return undefined;
  const [nonce = '', authCode = ''] = hello.proof.split(':');
  if (nonce.length !== NONCE_BYTES * 2) return undefined;
  const fields = [step, hello.instanceId, options.instanceId, nonce, localNonce];
  const expected = Buffer.from(computeAuthCode(options.clusterKey, fields));
  const received = Buffer.from(authCode);
  if (received.length !== expected.length || !timingSafeEqual(received, expected)) return undefined;
  return { instanceId: hello.instanceId, nonce };
}

function computeAuthCode(clusterKey: string, fields: readonly string[]): string {
  // JSON delimits the fields unambiguously, whatever characters an instance id contains.
  return createHmac('sha256', clusterKey).update(JSON.stringify(fields)).digest('hex');
}
