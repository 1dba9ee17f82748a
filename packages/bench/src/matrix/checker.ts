import type { AttemptLogEntry } from '@pollendrum/stand-ins';
import { checkBundles } from './bundle-check';
import type { Observation } from './caller';
import { describeObservation } from './causes';
import type { CellContext } from './cell';
import type { CauseKind } from './faults';
import { CLASSES } from './operators';

/** A class that has demand gets an answer within this time, faults of 3.5 s included. */
const CLASS_BOUND_MS = 8_000;
const LEAVING_BOUND_MS = 3_000;
/** A grant given before a request arrived may reach the engine this much later. */
const GRANT_TRAVEL_MS = 150;
const MAX_CRASHES = 2;
const PERCENT = 100;
const CAPACITY_CAUSES: ReadonlySet<CauseKind | undefined> = new Set<CauseKind>([
  'queue-wait-over-budget',
  'queue-full',
  'queue-timeout',
]);

/** One rule about what callers and stand-ins saw; returns one finding for each violation. */
interface Check {
  name: string;
  run: (context: CellContext) => string[];
}

/** All rules but the causes, which need the fleet. */
const CHECKS: readonly Check[] = [
  { name: 'no higher tier shed for a lower one', run: checkTiers },
  { name: 'each class served within its bound', run: checkClassBounds },
  { name: 'whole answers to the right callers', run: checkAnswers },
  { name: 'told not run, then not run', run: checkNotRun },
  { name: 'a non-idempotent call at most once', run: checkAtMostOnce },
  { name: 'nothing new to a leaving server after 3 s', run: checkLeaving },
  { name: 'a planned stop cuts nothing in flight', run: checkPlannedStop },
  { name: 'the newest accepted bundle in force', run: checkBundles },
  { name: 'a request crashes at most two servers', run: checkCrashes },
  { name: 'a log line for each answered request', run: checkReceivedLines },
];

/** Runs all rules. */
export function checkCell(context: CellContext): string[] {
  return CHECKS.flatMap(({ name, run }) => run(context).map((finding) => `${name}: ${finding}`));
}

function listAttempts(context: CellContext): AttemptLogEntry[] {
  return [...context.observer.attempts.values()].flat();
}

/** Lower tiers may start while a higher one waits only as far as their floors go. */
function checkTiers(context: CellContext): string[] {
  const starts = listStarts(context);
  return context.traffic.observations.flatMap((shed) => {
    if (shed.kind !== 'chat' || shed.result.kind !== 'error') return [];
    if (!CAPACITY_CAUSES.has(shed.result.cause)) return [];
    // A request that waits in the socket of a frozen entry is in no queue yet.
    const frozenToMs = context.fleet.getMember(shed.instanceId).frozen?.toMs ?? 0;
    const fromMs = Math.max(shed.sentAtMs, frozenToMs) + GRANT_TRAVEL_MS;
    const during = starts.filter(({ atMs }) => atMs > fromMs && atMs <= shed.endedAtMs);
    return CLASSES.flatMap(({ name, tier, floorPercent }) => {
      if (tier <= findTier(shed.className)) return [];
      const count = during.filter(({ className }) => className === name).length;
      const allowed = Math.ceil((during.length * floorPercent) / PERCENT) + 1;
      if (count <= allowed) return [];
      return [`${count} starts of ${name} (floor ${allowed}) before ${describeObservation(shed)}`];
    });
  });
}

interface Start {
  className: string;
  atMs: number;
}

/** First attempts at engines, with the class of their request. */
function listStarts(context: CellContext): Start[] {
  const classes = new Map(
    context.traffic.observations.map(({ promptTokens, className }) => [promptTokens, className]),
  );
  return listAttempts(context).flatMap(({ promptTokens, arrivedAtMs }) => {
    const className = classes.get(promptTokens);
    return className === undefined ? [] : [{ className, atMs: arrivedAtMs }];
  });
}

function findTier(className: string): number {
  return CLASSES.find(({ name }) => name === className)?.tier ?? 0;
}

function checkClassBounds({ traffic }: CellContext): string[] {
  return CLASSES.flatMap(({ name }) => {
    const own = traffic.observations.filter(({ className }) => className === name);
    const answeredAtMs = own
      .filter(({ result }) => result.kind === 'answered')
      .map(({ endedAtMs }) => endedAtMs);
    const starved = own.find(
      ({ sentAtMs }) =>
        !answeredAtMs.some((atMs) => atMs > sentAtMs && atMs <= sentAtMs + CLASS_BOUND_MS),
    );
    if (!starved) return [];
    const what = describeObservation(starved);
    return [`no answer of ${name} within ${CLASS_BOUND_MS} ms of ${what}`];
  });
}

/** The causes of requests to a killed instance are judged by these lines. */
function checkReceivedLines({ fleet, traffic }: CellContext): string[] {
  return traffic.observations
    .filter(({ result }) => result.kind === 'answered')
    .filter(
      ({ instanceId, requestId }) =>
        fleet.getMember(instanceId).receivedRequestIds?.has(requestId) !== true,
    )
    .map(describeObservation);
}

function checkAnswers(context: CellContext): string[] {
  return context.traffic.observations
    .filter((observation) => isWrongAnswer(context, observation))
    .map(describeObservation);
}

/** A connection may only end early, or be refused, when its instance was killed or had stopped. */
function isWrongAnswer({ fleet, stopping }: CellContext, observation: Observation): boolean {
  const instance = fleet.getMember(observation.instanceId);
  switch (observation.result.kind) {
    case 'mismatched':
    case 'timeout':
      return true;
    case 'broken':
      return instance.endedAtMs === undefined;
    case 'unreachable':
      return instance.endedAtMs === undefined && instance !== stopping?.member;
    case 'answered':
    case 'error':
      return false;
  }
}

function checkNotRun(context: CellContext): string[] {
  const attempts = listAttempts(context);
  const runIds = new Set([...context.observer.orders.values()].flat().map((run) => run.requestId));
  return context.traffic.observations
    .filter((observation) => {
      const { result, kind, requestId } = observation;
      if (result.kind !== 'error' || result.notRun !== true) return false;
      return kind === 'chat' ? hasStarted(context, observation, attempts) : runIds.has(requestId);
    })
    .map((observation) => `ran: ${describeObservation(observation)}`);
}

/** Whether an engine ran this sending of a chat; a text that was sent again is told apart by time. */
function hasStarted(
  { traffic }: CellContext,
  { promptTokens, sentAtMs }: Observation,
  attempts: readonly AttemptLogEntry[],
): boolean {
  const nextSentAtMs = traffic.observations
    .filter((other) => other.promptTokens === promptTokens && other.sentAtMs > sentAtMs)
    .reduce((earliest, other) => Math.min(earliest, other.sentAtMs), Infinity);
  return attempts.some(
    (attempt) =>
      attempt.promptTokens === promptTokens &&
      attempt.startedAtMs !== undefined &&
      attempt.arrivedAtMs >= sentAtMs &&
      attempt.arrivedAtMs < nextSentAtMs,
  );
}

function checkAtMostOnce(context: CellContext): string[] {
  const runs = new Map<string, string[]>();
  for (const [id, orders] of context.observer.orders) {
    for (const { idempotencyKey = '' } of orders) {
      runs.set(idempotencyKey, [...(runs.get(idempotencyKey) ?? []), id]);
    }
  }
  return [...runs]
    .filter(([, servers]) => servers.length > 1)
    .map(([key, servers]) => `${key} ran at ${servers.join(', ')}`);
}

/** A frozen server takes in on waking what was sent before, so its bound counts from then. */
function checkLeaving({ leaving, observer }: CellContext): string[] {
  if (!leaving) return [];
  const { member, atMs } = leaving;
  const boundMs = Math.max(atMs, member.frozen?.toMs ?? 0) + LEAVING_BOUND_MS;
  return (observer.attempts.get(member.id) ?? [])
    .filter(({ arrivedAtMs }) => arrivedAtMs > boundMs)
    .map(
      ({ attemptId, arrivedAtMs }) => `${attemptId} at ${member.id} ${arrivedAtMs - atMs} ms after`,
    );
}

function checkPlannedStop({ stopping, traffic }: CellContext): string[] {
  if (!stopping || stopping.member.endedAtMs !== undefined) return [];
  const { member, atMs } = stopping;
  return traffic.observations
    .filter(({ instanceId, sentAtMs, endedAtMs, result }) => {
      const isInFlight = instanceId === member.id && sentAtMs < atMs && endedAtMs > atMs;
      return isInFlight && (result.kind === 'broken' || hasCause(result, 'instance-draining'));
    })
    .map(describeObservation);
}

function hasCause(result: Observation['result'], kind: CauseKind): boolean {
  return result.kind === 'error' && result.cause === kind;
}

function checkCrashes({ fault, fleet }: CellContext): string[] {
  if (!fault.actions.some(({ kind }) => kind === 'crashing-request')) return [];
  const crashed = fleet.listMembers('engine').filter(({ hasExited }) => hasExited);
  if (crashed.length <= MAX_CRASHES) return [];
  return [`crashed ${crashed.map(({ id }) => id).join(', ')}`];
}
