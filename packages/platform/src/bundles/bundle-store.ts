import { setTimeout as waitFor } from 'node:timers/promises';
import {
  formatFinding,
  isValidBundleEnvelope,
  isValidBundleHead,
  parseJson,
} from '@pollendrum/protocol';
import type {
  Bundle,
  BundleEnvelope,
  BundleHead,
  Finding,
  TrustedOperator,
} from '@pollendrum/protocol';
import { PlatformProtocolError, PlatformUnavailableError } from '../client/errors';
import type { PlatformClient, PlatformObject, PutResult, WriteCondition } from '../client/types';
import { hashContent, verifyEnvelope } from './bundle-envelope';
import { validateBundle } from './validate-bundle';

/** Key of the object that names the active bundle. */
export const BUNDLE_HEAD_KEY = 'bundles/head';

/** Options of BundleStore. */
export interface BundleStoreOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject'>;
  /** Operators whose signatures are accepted. */
  trustedOperators: readonly TrustedOperator[];
  /** Number of operators who must sign a bundle, at least 1. */
  requiredSignatures: number;
  /**
   * Time limit of acceptBundle in milliseconds; until then, unconfirmed writes are read back and
   * retried.
   * @default 10_000
   */
  acceptTimeoutMs?: number;
  /**
   * Delay between two attempts in milliseconds.
   * @default 200
   */
  retryDelayMs?: number;
  /**
   * Returns the Unix time in milliseconds.
   * @default Date.now
   */
  now?: () => number;
}

/** The head and the version of its object. */
export interface StoredHead {
  head: BundleHead;
  version: number;
}

/**
 * Result of accepting a bundle. `conflict`: the bundle `winner` was accepted instead. `unknown`: the
 * bundle may have been accepted, but the platform was unreachable until the time limit, or a later
 * bundle replaced the head before the unconfirmed write could be read back.
 */
export type AcceptResult =
  | { kind: 'accepted'; head: BundleHead }
  | { kind: 'conflict'; winner: BundleHead }
  | { kind: 'invalid'; findings: Finding[] }
  | { kind: 'unknown'; operation: string; elapsedMs: number; head?: BundleHead };

const ACCEPT_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 200;

/**
 * Parses the head object.
 * @throws PlatformProtocolError when it does not match the schema.
 */
export function parseHead(object: PlatformObject): StoredHead {
  const parsed = parseJson(object.text, isValidBundleHead);
  if (parsed.ok) return { head: parsed.value, version: object.version };
  const reason = parsed.findings.map(formatFinding).join('; ');
  throw new PlatformProtocolError(`get ${BUNDLE_HEAD_KEY}`, 200, reason);
}

/** Reads and accepts bundles stored in the platform's object service. */
export class BundleStore {
  readonly #now: () => number;

  constructor(private readonly options: BundleStoreOptions) {
    this.#now = options.now ?? Date.now;
  }

  /**
   * Reads the head; returns undefined if no bundle has been accepted yet.
   * @throws PlatformUnavailableError, PlatformProtocolError
   */
  async readHead(): Promise<StoredHead | undefined> {
    const object = await this.options.client.getObject(BUNDLE_HEAD_KEY);
    return object === undefined ? undefined : parseHead(object);
  }

  /**
   * Reads a bundle, which is immutable once stored; returns undefined if it does not exist. Checks
   * the digest of the content, but not the signatures.
   * @throws PlatformUnavailableError, PlatformProtocolError
   */
  async readBundle(number: number, digest: string): Promise<BundleEnvelope | undefined> {
    const key = toBundleKey(number, digest);
    const object = await this.options.client.getObject(key);
    if (object === undefined) return undefined;
    const parsed = parseJson(object.text, isValidBundleEnvelope);
    if (!parsed.ok) {
      const reason = parsed.findings.map(formatFinding).join('; ');
      throw new PlatformProtocolError(`get ${key}`, 200, reason);
    }
    if (hashContent(parsed.value.content) !== digest) {
      throw new PlatformProtocolError(`get ${key}`, 200, 'content does not match its digest');
    }
    return parsed.value;
  }

  /**
   * Activates a bundle by one conditional update of the head from number n to n + 1. Idempotent:
   * returns `accepted` if the bundle is already active.
   * @throws PlatformProtocolError when a stored object is malformed or a write is refused.
   */
  async acceptBundle(envelope: BundleEnvelope, operator: string): Promise<AcceptResult> {
    const checked = this.#checkEnvelope(envelope);
    if (checked.kind === 'invalid') return checked;
    const startedAtMs = this.#now();
    const acceptance = new Acceptance(envelope, checked.bundle, checked.signers, operator);
    let lastOperation = `get ${BUNDLE_HEAD_KEY}`;
    do {
      try {
        const result = await this.#runAttempt(acceptance);
        if (result.kind === 'unknown') {
          return { ...result, elapsedMs: this.#now() - startedAtMs };
        }
        if (result.kind !== 'retry') return result;
        lastOperation = result.operation;
      } catch (error) {
        if (!(error instanceof PlatformUnavailableError)) throw error;
        lastOperation = error.operation;
      }
      await waitFor(this.options.retryDelayMs ?? RETRY_DELAY_MS);
    } while (this.#now() - startedAtMs < (this.options.acceptTimeoutMs ?? ACCEPT_TIMEOUT_MS));
    return {
      kind: 'unknown',
      operation: lastOperation,
      elapsedMs: this.#now() - startedAtMs,
    };
  }

  #checkEnvelope(
    envelope: BundleEnvelope,
  ):
    | { kind: 'valid'; bundle: Bundle; signers: string[] }
    | { kind: 'invalid'; findings: Finding[] } {
    const parsed = validateBundle(envelope.content);
    const { trustedOperators, requiredSignatures } = this.options;
    const verified = verifyEnvelope(envelope, trustedOperators, requiredSignatures);
    const findings = parsed.ok ? [] : [...parsed.findings];
    if (verified.kind === 'unverified')
      findings.push(createSignatureFinding(verified.signers, requiredSignatures));
    if (!parsed.ok || findings.length > 0) return { kind: 'invalid', findings };
    return { kind: 'valid', bundle: parsed.value, signers: verified.signers };
  }

  // Every attempt reads the head first, so that an earlier unconfirmed write is found.
  async #runAttempt(acceptance: Acceptance): Promise<AcceptResult | RetryNeeded> {
    const current = await this.readHead();
    const conclusion = acceptance.compareHead(current?.head);
    if (conclusion !== undefined) return conclusion;
    const failure = await this.#writeEnvelope(acceptance);
    if (failure !== undefined) return failure;
    const condition: WriteCondition =
      current === undefined ? { kind: 'absent' } : { kind: 'version', version: current.version };
    const head = acceptance.createHead(this.#now());
    const result = await this.options.client.putObject(
      BUNDLE_HEAD_KEY,
      JSON.stringify(head),
      condition,
    );
    return toAttemptResult(result, acceptance, head);
  }

  async #writeEnvelope(acceptance: Acceptance): Promise<AcceptResult | RetryNeeded | undefined> {
    const { bundle, digest } = acceptance;
    const key = toBundleKey(bundle.number, digest);
    const text = JSON.stringify(acceptance.envelope);
    const result = await this.options.client.putObject(key, text, { kind: 'absent' });
    switch (result.kind) {
      case 'stored':
        return undefined;
      case 'unknown':
        return { kind: 'retry', operation: result.operation };
      case 'conflict':
        return this.#checkStoredEnvelope(acceptance);
    }
  }

  // The stored envelope is immutable and may have other signatures than this one, so the head has
  // to name the signers of the stored envelope.
  async #checkStoredEnvelope(acceptance: Acceptance): Promise<AcceptResult | undefined> {
    const stored = await this.readBundle(acceptance.bundle.number, acceptance.digest);
    const { trustedOperators, requiredSignatures } = this.options;
    const verified = verifyEnvelope(
      stored ?? acceptance.envelope,
      trustedOperators,
      requiredSignatures,
    );
    if (verified.kind === 'unverified') {
      const finding = createSignatureFinding(verified.signers, requiredSignatures);
      const message = `the same content is already stored with too few signatures: ${finding.message}`;
      return { kind: 'invalid', findings: [{ ...finding, message }] };
    }
    acceptance.signers = verified.signers;
    return undefined;
  }
}

interface RetryNeeded {
  kind: 'retry';
  operation: string;
}

/** State of one acceptBundle call across its attempts. */
class Acceptance {
  readonly digest: string;
  /** Whether an update of the head was sent without a confirmation. */
  hasUnconfirmedHeadWrite = false;

  constructor(
    readonly envelope: BundleEnvelope,
    readonly bundle: Bundle,
    public signers: string[],
    private readonly operator: string,
  ) {
    this.digest = hashContent(envelope.content);
  }

  createHead(nowMs: number): BundleHead {
    return {
      number: this.bundle.number,
      digest: this.digest,
      acceptedBy: this.operator,
      acceptedAtMs: nowMs,
      signers: this.signers,
    };
  }

  /** Returns undefined if the head is the direct predecessor, so that an update can be attempted. */
  compareHead(head: BundleHead | undefined): AcceptResult | undefined {
    const headNumber = head?.number ?? 0;
    const { number } = this.bundle;
    if (headNumber === number - 1) return undefined;
    if (head === undefined || headNumber < number) {
      const message = `must be ${headNumber + 1}, one higher than the number in force`;
      return { kind: 'invalid', findings: [{ pointer: '/number', message }] };
    }
    if (headNumber === number && head.digest === this.digest) return { kind: 'accepted', head };
    if (headNumber > number && this.hasUnconfirmedHeadWrite) {
      return { kind: 'unknown', operation: `put ${BUNDLE_HEAD_KEY}`, elapsedMs: 0, head };
    }
    return { kind: 'conflict', winner: head };
  }
}

function toAttemptResult(
  result: PutResult,
  acceptance: Acceptance,
  head: BundleHead,
): AcceptResult | RetryNeeded {
  switch (result.kind) {
    case 'stored':
      return { kind: 'accepted', head };
    case 'conflict':
      return { kind: 'retry', operation: `put ${BUNDLE_HEAD_KEY}` };
    case 'unknown':
      acceptance.hasUnconfirmedHeadWrite = true;
      return { kind: 'retry', operation: result.operation };
  }
}

function createSignatureFinding(signers: readonly string[], requiredSignatures: number): Finding {
  const names = signers.length === 0 ? 'none' : signers.join(', ');
  const message = `needs valid signatures of ${requiredSignatures} trusted operators, has ${names}`;
  return { pointer: '/signatures', message, source: 'envelope' };
}

function toBundleKey(number: number, digest: string): string {
  return `bundles/${number}-${digest}`;
}
