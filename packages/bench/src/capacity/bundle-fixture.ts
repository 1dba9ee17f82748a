import { createHash, generateKeyPairSync } from 'node:crypto';
import { BundleStore, createBundleEnvelope, signContent } from '@pollendrum/platform';
import type { PlatformClient } from '@pollendrum/platform';
import type { Bundle, ServiceClass, Team, TrustedOperator } from '@pollendrum/protocol';

export const TEAM_KEY = 'capacity-key';
const OPERATOR = 'capacity';
const MODELS = 6;

/** An operator with a fresh key pair. */
export interface BenchOperator {
  trusted: TrustedOperator;
  privateKeyPem: string;
}

export function createOperator(): BenchOperator {
  const { publicKey, privateKey } = generateKeyPairSync('ed25519');
  return {
    trusted: {
      name: OPERATOR,
      publicKey: String(publicKey.export({ type: 'spki', format: 'pem' })),
    },
    privateKeyPem: String(privateKey.export({ type: 'pkcs8', format: 'pem' })),
  };
}

/** Builds a bundle with 6 models, 3 classes and teams with one key and two limits each. */
export function buildBundle(number: number, teamCount: number): Bundle {
  const classes: Bundle['classes'] = [buildClass(0), buildClass(1), buildClass(2)];
  const classNames: Team['classes'] = ['tier-0', 'tier-1', 'tier-2'];
  return {
    formatVersion: 1,
    number,
    description: 'capacity measurement',
    classes,
    teams: Array.from({ length: teamCount }, (_, index) => ({
      name: `team-${String(index).padStart(5, '0')}`,
      keySha256: [hashKey(index === 0 ? TEAM_KEY : `key-${index}`)],
      classes: classNames,
      requestsPerSecond: 100_000,
      concurrentRequests: 10_000,
    })),
    models: Array.from({ length: MODELS }, (_, index) => ({
      name: `m${index + 1}`,
      pool: `m${index + 1}`,
    })),
    services: [
      {
        name: 'ordering',
        pool: 'ordering',
        routes: [{ method: 'POST', pathPrefix: '/orders', isIdempotent: false }],
      },
    ],
  };
}

/**
 * Signs and accepts a bundle.
 * @throws Error when it is not accepted.
 */
export async function acceptBundle(
  client: PlatformClient,
  operator: BenchOperator,
  bundle: Bundle,
): Promise<void> {
  const content = JSON.stringify(bundle);
  const signature = signContent(content, OPERATOR, operator.privateKeyPem);
  const trustedOperators = [operator.trusted];
  const store = new BundleStore({ client, trustedOperators, requiredSignatures: 1 });
  const result = await store.acceptBundle(createBundleEnvelope(content, [signature]), OPERATOR);
  if (result.kind !== 'accepted') throw new Error(`bundle not accepted: ${JSON.stringify(result)}`);
}

function buildClass(tier: number): ServiceClass {
  return {
    name: `tier-${tier}`,
    ...{ tier, floorPercent: 10, preference: 'attainment' },
    ...{ targetFirstByteMs: 30_000, maxQueueMs: 30_000, maxTotalMs: 600_000 },
  };
}

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
