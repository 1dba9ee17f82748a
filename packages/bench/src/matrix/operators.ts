import { createHash, createHmac, generateKeyPairSync, randomBytes } from 'node:crypto';
import {
  BundleStore,
  createBundleEnvelope,
  createPlatformClient,
  signContent,
} from '@pollendrum/platform';
import type { AcceptResult } from '@pollendrum/platform';
import type { Bundle, BundleEnvelope, ServiceClass, TrustedOperator } from '@pollendrum/protocol';

/** Model that every bundle has; each bundle adds one whose name is its marker. */
export const MODEL_NAME = 'advisor';
export const CHAT_POOL = 'advisor';
export const SERVICE_POOL = 'orders';

/** Classes of the matrix: one for each tier, and one for orders and stock. */
export const CLASSES: readonly [ServiceClass, ...ServiceClass[]] = [
  createClass('plan', 0, 'attainment', { targetFirstByteMs: 1300, maxQueueMs: 1300 }),
  createClass('question', 1, 'attainment', { targetFirstByteMs: 1300, maxQueueMs: 1300 }),
  createClass('brief', 2, 'goodput', { targetFirstByteMs: 3000, maxQueueMs: 5000 }),
  createClass('order', 1, 'goodput', { targetFirstByteMs: 1000, maxQueueMs: 5000 }),
];

function createClass(
  name: string,
  tier: number,
  preference: ServiceClass['preference'],
  times: { targetFirstByteMs: number; maxQueueMs: number },
): ServiceClass {
  const limits = { maxTotalMs: 20_000, floorPercent: 10, retryBudgetPercent: 10 };
  const gap = name === 'order' ? {} : { targetTokenGapMs: 66 };
  return { name, tier, preference, ...times, ...limits, ...gap };
}

const OPERATOR_NAMES = ['ana', 'bongi'] as const;
export type OperatorName = (typeof OPERATOR_NAMES)[number];
export const REQUIRED_SIGNATURES = 2;
const TEAM_KEY_BYTES = 24;

/** Headers that the instances' admin endpoints require. */
export function computeOperatorHeaders(clusterKey: string): Record<string, string> {
  const token = createHmac('sha256', clusterKey).update('operator').digest('hex');
  return { authorization: `Bearer ${token}` };
}

/** The operators of one fleet, with their keys and the team's key. */
export class Operators implements AsyncDisposable {
  readonly teamKey = randomBytes(TEAM_KEY_BYTES).toString('base64url');
  readonly trustedOperators: TrustedOperator[];
  private readonly privateKeys = new Map<OperatorName, string>();
  private readonly client;
  private readonly store: BundleStore;

  constructor(platformUrl: string) {
    this.trustedOperators = OPERATOR_NAMES.map((name) => {
      const pair = generateKeyPairSync('ed25519');
      this.privateKeys.set(
        name,
        pair.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString(),
      );
      return { name, publicKey: pair.publicKey.export({ type: 'spki', format: 'pem' }).toString() };
    });
    this.client = createPlatformClient({ url: platformUrl });
    this.store = new BundleStore({
      client: this.client,
      trustedOperators: this.trustedOperators,
      requiredSignatures: REQUIRED_SIGNATURES,
    });
  }

  /** Text of a bundle; `marker` is the name of a model that only this bundle has. */
  buildBundle(number: number, marker: string): string {
    const keySha256 = createHash('sha256').update(this.teamKey).digest('hex');
    const [first, ...others] = CLASSES.map(({ name }) => name);
    const bundle: Bundle = {
      formatVersion: 1,
      number,
      description: marker,
      classes: [...CLASSES],
      teams: [
        { name: 'matrix', keySha256: [keySha256], classes: [first ?? '', ...others], weight: 1 },
      ],
      models: [MODEL_NAME, marker].map((name) => ({ name, pool: CHAT_POOL })),
      services: [
        {
          name: 'orders',
          pool: SERVICE_POOL,
          routes: [
            { method: 'POST', pathPrefix: '/orders', isIdempotent: false },
            { method: 'GET', pathPrefix: '/stock', isIdempotent: true },
          ],
        },
      ],
    };
    return JSON.stringify(bundle);
  }

  /** Signs the text with the given operators' keys. */
  signBundle(text: string, names: readonly OperatorName[] = OPERATOR_NAMES): BundleEnvelope {
    const signatures = names.map((name) =>
      signContent(text, name, this.privateKeys.get(name) ?? ''),
    );
    return createBundleEnvelope(text, signatures);
  }

  acceptBundle(envelope: BundleEnvelope, operator: OperatorName): Promise<AcceptResult> {
    return this.store.acceptBundle(envelope, operator);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.client[Symbol.asyncDispose]();
  }
}
