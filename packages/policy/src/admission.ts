import type { Cause } from '@pollendrum/protocol';
import type { CrashTracker } from './crash-tracker';
import { Headroom } from './headroom';
import { resolveBudgetStart, type RequestQueue } from './queue';
import { PROBE_INTERVAL_MS } from './server-health';
import { countFreeSlots, countSlots, type ServerTable } from './server-table';
import type { TeamLimits } from './team-limits';
import type { QueuedRequest, SchedulerSummary } from './types';
import { estimateClassWait, estimateTierWait, type WaitEstimateInput } from './wait-estimate';

/** Minimum retry delay after a shed for lack of capacity, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;

/** Why a request is shed, whether it is new or already queued. */
export interface ShedReason {
  cause: Cause;
  /**
   * Minimum delay before the caller retries the request, in milliseconds; 0 if there is no minimum, as for a poison
   * request.
   */
  retryAfterMs: number;
}

/** The shard's state that the admission checks read. */
export interface AdmissionInput {
  queue: RequestQueue;
  table: ServerTable;
  crashTracker: CrashTracker;
  limits: TeamLimits;
  headroomRatio: number | undefined;
  meanServiceMs: number;
  nowMs: number;
}

function makeWaitInput(input: AdmissionInput): WaitEstimateInput {
  const healthy = input.table.listInState('healthy', input.nowMs);
  const slots = countSlots(healthy);
  return {
    classes: input.queue.classes,
    slots,
    freeSlots: countFreeSlots(healthy),
    headroom: new Headroom(input.queue.listTiers(), healthy, input.headroomRatio),
    meanServiceMs: input.meanServiceMs,
  };
}

/**
 * Runs the admission checks and returns the reason of the first check that fails; undefined if the request is
 * admitted. The team limits are checked last, because that check takes a rate token of the team: a request that is
 * shed for another reason takes no token.
 */
export function checkAdmission(
  request: QueuedRequest,
  budgetMs: number,
  input: AdmissionInput,
): ShedReason | undefined {
  return (
    checkPoison(request, input.crashTracker) ??
    checkServers(request, budgetMs, input) ??
    checkWait(request, budgetMs, input) ??
    input.limits.checkAttempt(request.team, request.isRetry, input.nowMs)
  );
}

/** Summarizes the shard's load for entry instances. */
export function summarizeLoad(input: AdmissionInput): SchedulerSummary {
  const waitInput = makeWaitInput(input);
  const { slots, freeSlots } = waitInput;
  const tierCount = Math.max(0, ...input.queue.listTiers().map((tier) => tier + 1));
  const waitMsByTier = Array.from({ length: tierCount }, (_, tier) =>
    estimateTierWait(waitInput, tier),
  );
  return { waitMsByTier, usedSlots: slots - freeSlots, slots };
}

/** Returns a reason to shed a request whose fingerprint reached the crash threshold. */
export function checkPoison(
  request: QueuedRequest,
  crashTracker: CrashTracker,
): ShedReason | undefined {
  const { fingerprint } = request;
  if (crashTracker.getStatus(fingerprint) !== 'poison') return undefined;
  const crashedServerIds = crashTracker.listCrashedServers(fingerprint);
  return { cause: { kind: 'poison-request', fingerprint, crashedServerIds }, retryAfterMs: 0 };
}

/** Returns a reason to shed a request if no server can start it within its queue budget. */
function checkServers(
  request: QueuedRequest,
  budgetMs: number,
  input: AdmissionInput,
): ShedReason | undefined {
  const { table, nowMs } = input;
  const excluded = request.excludedServerIds;
  const isAllowed = ({ id }: { id: string }) => !excluded.includes(id);
  if (table.listInState('healthy', nowMs).some(isAllowed)) return undefined;
  const unavailable = [...table.listInState('ejected', nowMs), ...table.listInState('down', nowMs)];
  if (unavailable.some(isAllowed) && excluded.length === 0) {
    const probeInMs = unavailable.some(({ id }) => table.health.isProbeDue(id, nowMs))
      ? 0
      : table.health.getNextChangeMs(nowMs) - nowMs;
    if (probeInMs < budgetMs) return undefined;
  }
  return makeNoServerReason(table, nowMs);
}

/** Returns a reason to shed a request if its estimated wait exceeds the rest of its queue budget. */
function checkWait(
  request: QueuedRequest,
  budgetMs: number,
  input: AdmissionInput,
): ShedReason | undefined {
  const { queue, nowMs } = input;
  const waitInput = makeWaitInput(input);
  if (waitInput.slots === 0) return undefined;
  const classQueue = queue.getClass(request.className);
  const waitMs = estimateClassWait(waitInput, classQueue);
  const waitedMs = nowMs - resolveBudgetStart(request, nowMs);
  if (waitMs === 0 || waitedMs + waitMs <= budgetMs) return undefined;
  const cause: Cause = {
    kind: 'queue-wait-over-budget',
    estimatedWaitMs: waitMs,
    budgetMs,
    requestsAheadByTier: queue.countByTier(classQueue.settings.tier),
    usedSlotsByClass: input.table.countUsedByClass(),
  };
  return { cause, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs - budgetMs) };
}

export function makeQueueFullReason(input: AdmissionInput, queueLimit: number): ShedReason {
  const { queue, table, meanServiceMs } = input;
  const cause: Cause = {
    kind: 'queue-full',
    queueLength: queue.length,
    queueLimit,
    usedSlotsByClass: table.countUsedByClass(),
  };
  return { cause, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(meanServiceMs)) };
}

/** Makes the reason to shed a request that reached its queue timeout or its latest start time. */
export function makeTimeoutReason(input: AdmissionInput, budgetStartMs: number): ShedReason {
  const { table, nowMs } = input;
  if (table.listInState('healthy', nowMs).length === 0) return makeNoServerReason(table, nowMs);
  const cause: Cause = {
    kind: 'queue-timeout',
    waitedMs: nowMs - budgetStartMs,
    usedSlotsByClass: table.countUsedByClass(),
  };
  return { cause, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(input.meanServiceMs)) };
}

function makeNoServerReason(table: ServerTable, nowMs: number): ShedReason {
  const cause: Cause = { kind: 'no-healthy-server', serversByState: table.countByState(nowMs) };
  return { cause, retryAfterMs: PROBE_INTERVAL_MS };
}
