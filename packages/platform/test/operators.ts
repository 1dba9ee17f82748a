import { generateKeyPairSync } from 'node:crypto';
import type { BundleEnvelope, TrustedOperator } from '@pollendrum/protocol';
import { createBundleEnvelope, signContent } from '../src/index';

const NAMES = ['ana', 'bongi', 'carlos'] as const;
const keyPairs = new Map(NAMES.map((name) => [name, generateKeyPairSync('ed25519')]));

/** Trusted operators; their keys are generated when the module is loaded. */
export const trustedOperators: TrustedOperator[] = NAMES.map((name) => ({
  name,
  publicKey: String(keyPairs.get(name)?.publicKey.export({ type: 'spki', format: 'pem' })),
}));

/** Builds the text of a valid bundle; the description distinguishes bundles with the same number. */
export function buildBundleText(number: number, description = 'test'): string {
  return JSON.stringify({
    formatVersion: 1,
    number,
    description,
    classes: [
      {
        name: 'quick',
        tier: 0,
        floorPercent: 10,
        preference: 'attainment',
        targetFirstByteMs: 500,
        maxQueueMs: 1_000,
        maxTotalMs: 10_000,
      },
    ],
    teams: [{ name: 'drovers', keySha256: ['a'.repeat(64)], classes: ['quick'] }],
    models: [{ name: 'small', pool: 'small' }],
    services: [
      {
        name: 'ordering',
        pool: 'ordering',
        routes: [{ method: 'POST', pathPrefix: '/orders', isIdempotent: false }],
      },
    ],
  });
}

export function signText(content: string, operator: string, asOperator = operator) {
  const key = keyPairs.get(operator as (typeof NAMES)[number])?.privateKey;
  const pem = String(key?.export({ type: 'pkcs8', format: 'pem' }));
  return signContent(content, asOperator, pem);
}

export function buildEnvelope(number: number, signers: string[], text?: string): BundleEnvelope {
  const content = text ?? buildBundleText(number);
  return createBundleEnvelope(
    content,
    signers.map((signer) => signText(content, signer)),
  );
}
