import { setTimeout as sleep } from 'node:timers/promises';
import type { OutcomeRecord } from '@pollendrum/protocol';
import type { Observation } from './caller';
import type { CellContext } from './cell';
import type { CauseKind } from './faults';
import type { FleetMember } from './fleet';
import { getJson } from './http';
import { CLASSES, computeOperatorHeaders } from './operators';

const CAUSE_LIMIT_MS = 10_000;
const RETRY_DELAY_MS = 1_500;
/** A lookup asks the other instances and the platform as well. */
const LOOKUP_TIMEOUT_MS = 6_000;
/** Difference between the caller's and the entry's measurement on a busy machine. */
const LATE_TOLERANCE_MS = 100;
/** A resent order may meet the claim of the first sending. */
const RESEND_CAUSES: readonly CauseKind[] = ['duplicate-key'];

/**
 * Checks that every request that did not go well has a recorded cause that fits the fault. Lookups
 * begin when the request has ended.
 */
export class CauseChecker {
  private readonly lookups: Promise<string | undefined>[] = [];

  /** @param limitMs How long a cause is looked for after the request has ended. */
  constructor(
    private readonly context: CellContext,
    private readonly limitMs = CAUSE_LIMIT_MS,
  ) {}

  observeEnd(observation: Observation): void {
    if (!isExplainable(observation)) return;
    this.lookups.push(checkCause(this.context, observation, this.limitMs));
  }

  /** Waits for the lookups of all requests that have ended; returns the findings. */
  async collectFindings(): Promise<string[]> {
    const findings = await Promise.all(this.lookups);
    return findings.filter((finding) => finding !== undefined);
  }
}

/** Shed, failed, unknown, cut off or late for its caller; a request that was never sent has no record. */
function isExplainable(observation: Observation): boolean {
  switch (observation.result.kind) {
    case 'answered':
      return describeLateness(observation) !== undefined;
    case 'error':
    case 'broken':
    case 'timeout':
    case 'mismatched':
      return true;
    case 'unreachable':
      return false;
  }
}

function describeLateness(observation: Observation): string | undefined {
  const serviceClass = CLASSES.find(({ name }) => name === observation.className);
  if (!serviceClass) return undefined;
  const { sentAtMs, endedAtMs, firstByteAtMs = endedAtMs, lastTokenAtMs, tokens } = observation;
  const toleranceMs = LATE_TOLERANCE_MS + observation.ownDelayMs;
  const firstMs = firstByteAtMs - sentAtMs;
  if (firstMs > serviceClass.targetFirstByteMs + toleranceMs) return `first byte ${firstMs} ms`;
  const { targetTokenGapMs } = serviceClass;
  if (lastTokenAtMs === undefined || targetTokenGapMs === undefined || tokens < 2) return undefined;
  const meanGapMs = (lastTokenAtMs - firstByteAtMs) / (tokens - 1);
  const isSlow = lastTokenAtMs - firstByteAtMs > targetTokenGapMs * (tokens - 1) + toleranceMs;
  return isSlow ? `mean gap ${meanGapMs.toFixed(0)} ms` : undefined;
}

async function checkCause(
  context: CellContext,
  observation: Observation,
  limitMs: number,
): Promise<string | undefined> {
  const { step, fault } = context;
  const allowed = new Set([
    ...fault.allowedCauses,
    ...step.allowedCauses,
    ...(observation.isResend ? RESEND_CAUSES : []),
  ]);
  // No instance but the killed one ever had the request, so nobody can know of it.
  const entry = context.fleet.getMember(observation.instanceId);
  const { endedAtMs: killedAtMs } = entry;
  if (killedAtMs !== undefined && (observation.bodySentAtMs ?? Infinity) > killedAtMs)
    return undefined;
  const found = await findCauses(context, observation, limitMs);
  if (found.length === 0) {
    // What lay unread in the socket of the killed instance is known to nobody either.
    if (killedAtMs !== undefined && !hasReceived(entry, observation)) return undefined;
    return `no cause for ${describeObservation(observation)}, engines saw ${describeAttempts(context, observation)}`;
  }
  if (found.some((kind) => allowed.has(kind))) return undefined;
  return `cause ${found.join(', ')} does not fit ${describeObservation(observation)}`;
}

function hasReceived({ receivedRequestIds }: FleetMember, { requestId }: Observation): boolean {
  return receivedRequestIds?.has(requestId) === true;
}

function describeAttempts({ observer }: CellContext, { promptTokens }: Observation): string {
  const seen = [...observer.attempts].flatMap(([id, attempts]) =>
    attempts
      .filter((attempt) => attempt.promptTokens === promptTokens)
      .map(({ state, generatedTokens }) => `${id} ${state} ${generatedTokens}`),
  );
  return seen.length === 0 ? 'nothing' : seen.join(', ');
}

export function describeObservation(observation: Observation): string {
  const { requestId, kind, className, instanceId, result } = observation;
  const lateness = describeLateness(observation);
  const late = result.kind === 'answered' && lateness !== undefined ? ` late, ${lateness}` : '';
  const detail = describeResult(observation);
  const afterMs = observation.endedAtMs - observation.sentAtMs;
  return `${requestId} (${kind} ${className} at ${instanceId}, ${detail}${late}, after ${afterMs} ms)`;
}

function describeResult({ result }: Observation): string {
  switch (result.kind) {
    case 'error':
      return `error ${result.status} ${result.code}`;
    case 'broken':
      return `broken ${result.code}`;
    case 'mismatched':
      return `mismatched: ${result.detail}`;
    case 'answered':
    case 'unreachable':
    case 'timeout':
      return result.kind;
  }
}

/** Asks the surviving instances until one knows a cause, for at most `limitMs` after the request ended. */
async function findCauses(
  context: CellContext,
  observation: Observation,
  limitMs: number,
): Promise<CauseKind[]> {
  const deadlineMs = Date.now() + limitMs;
  for (;;) {
    const kinds = await fetchCauses(context, observation.requestId);
    if (kinds.length > 0 || Date.now() > deadlineMs) return kinds;
    await sleep(RETRY_DELAY_MS);
  }
}

async function fetchCauses(context: CellContext, requestId: string): Promise<CauseKind[]> {
  const { fleet } = context;
  const headers = computeOperatorHeaders(fleet.clusterKey);
  for (const instance of fleet.listMembers('instance')) {
    if (instance.endedAtMs !== undefined) continue;
    const url = `${instance.url}/admin/outcomes/${requestId}`;
    const reply = await getJson<{ records: OutcomeRecord[] }>(
      url,
      headers,
      LOOKUP_TIMEOUT_MS,
    ).catch(() => undefined);
    const kinds = (reply?.records ?? []).flatMap(({ cause }) => (cause ? [cause.kind] : []));
    if (kinds.length > 0) return kinds;
  }
  return [];
}
