import type { Cause } from '@pollendrum/protocol';
import type { FinishResult, GrantReason, SchedulingClass } from './types';

/** One event of a scheduler, in the order in which it happened. Times in milliseconds of the scheduler's clock. */
export type DecisionEvent =
  | {
      kind: 'enqueue';
      atMs: number;
      attemptId: string;
      className: string;
      tier: number;
      fingerprint: string;
      excludedServerIds: readonly string[];
    }
  | {
      kind: 'start';
      atMs: number;
      attemptId: string;
      className: string;
      tier: number;
      serverId: string;
      reason: GrantReason;
    }
  | { kind: 'shed'; atMs: number; attemptId: string; cause: Cause }
  /** Withdrawn, or adopted with a grant of another owner. */
  | { kind: 'leave'; atMs: number; attemptId: string }
  | { kind: 'finish'; atMs: number; attemptId: string; result: FinishResult }
  /** The fingerprint became or ceased to be a crash suspect. */
  | { kind: 'suspect'; atMs: number; fingerprint: string; isSuspect: boolean };

/** A broken rule and the events that show it, as indices into the log. */
export interface Violation {
  rule: 'P1' | 'P2';
  message: string;
  eventIndices: number[];
}

type EnqueueEvent = Extract<DecisionEvent, { kind: 'enqueue' }>;
type StartEvent = Extract<DecisionEvent, { kind: 'start' }>;

/** What the predicates follow while they read a log. */
interface Replay {
  waiting: Map<string, { event: EnqueueEvent; index: number; wasSuspect: boolean }>;
  suspects: Set<string>;
}

function applyEvent(replay: Replay, event: DecisionEvent, index: number): void {
  switch (event.kind) {
    case 'enqueue':
      replay.waiting.set(event.attemptId, {
        event,
        index,
        wasSuspect: replay.suspects.has(event.fingerprint),
      });
      return;
    case 'start':
    case 'shed':
    case 'leave':
      replay.waiting.delete(event.attemptId);
      return;
    case 'suspect':
      if (event.isSuspect) replay.suspects.add(event.fingerprint);
      else replay.suspects.delete(event.fingerprint);
      for (const waiting of replay.waiting.values()) {
        if (waiting.event.fingerprint === event.fingerprint) waiting.wasSuspect = true;
      }
      return;
    case 'finish':
      return;
  }
}

/**
 * P1: while a request waits that is shed for lack of capacity, nothing of a lower tier starts, other than
 * floor starts, probes of servers that take no regular work, and starts from slots that the request could
 * not use (servers it excludes; any slot while it is a crash suspect). When it is shed because the queue
 * is full, no request of a lower tier remains in the queue.
 */
export function checkTierOrder(events: readonly DecisionEvent[]): Violation[] {
  const replay: Replay = { waiting: new Map(), suspects: new Set() };
  const starts: { event: StartEvent; index: number }[] = [];
  const violations: Violation[] = [];
  events.forEach((event, index) => {
    if (event.kind === 'start') starts.push({ event, index });
    if (event.kind === 'shed') {
      violations.push(...checkShed(event, index, replay, starts));
    }
    applyEvent(replay, event, index);
  });
  return violations;
}

function checkShed(
  shed: Extract<DecisionEvent, { kind: 'shed' }>,
  index: number,
  replay: Replay,
  starts: readonly { event: StartEvent; index: number }[],
): Violation[] {
  const own = replay.waiting.get(shed.attemptId);
  if (own === undefined || !isCapacityCause(shed.cause)) return [];
  const violations: Violation[] = [];
  for (let at = starts.length - 1; at >= 0; at -= 1) {
    const start = starts[at] as { event: StartEvent; index: number };
    if (start.index < own.index) break;
    if (own.wasSuspect || !isLowerTierStart(start.event, own.event)) continue;
    const message = `${start.event.attemptId} of tier ${start.event.tier} started while ${shed.attemptId} of tier ${own.event.tier} waited and was shed`;
    violations.push({ rule: 'P1', message, eventIndices: [own.index, start.index, index] });
  }
  if (shed.cause.kind !== 'queue-full') return violations;
  for (const other of replay.waiting.values()) {
    if (other.event.tier <= own.event.tier) continue;
    const message = `${shed.attemptId} of tier ${own.event.tier} was shed from a full queue while ${other.event.attemptId} of tier ${other.event.tier} waited`;
    violations.push({ rule: 'P1', message, eventIndices: [other.index, index] });
  }
  return violations;
}

function isLowerTierStart(start: StartEvent, own: EnqueueEvent): boolean {
  if (start.tier <= own.tier || start.reason !== 'tier') return false;
  return !own.excludedServerIds.includes(start.serverId);
}

function isCapacityCause(cause: Cause): boolean {
  return (
    cause.kind === 'queue-wait-over-budget' ||
    cause.kind === 'queue-full' ||
    cause.kind === 'queue-timeout'
  );
}

/**
 * P2: a class with floor f that stays backlogged is started at least once in every
 * `ceil(100 / f) + classes` starts of the shard. Backlogged means that it has a waiting request that any
 * free slot could run, that is, one without excluded servers that is no crash suspect.
 */
export function checkNoStarvation(
  events: readonly DecisionEvent[],
  classes: readonly SchedulingClass[],
): Violation[] {
  const replay: Replay = { waiting: new Map(), suspects: new Set() };
  const withFloor = classes.filter(({ floorPercent }) => floorPercent > 0);
  const startsWithout = new Map<string, number>();
  const violations: Violation[] = [];
  events.forEach((event, index) => {
    const started = event.kind === 'start' ? event : undefined;
    applyEvent(replay, event, index);
    const backlogged = listBacklogged(replay);
    for (const { name, floorPercent } of withFloor) {
      const missed = startsWithout.get(name) ?? 0;
      if (started?.className === name || !backlogged.has(name)) startsWithout.set(name, 0);
      else if (started !== undefined) startsWithout.set(name, missed + 1);
      const bound = Math.ceil(100 / floorPercent) + classes.length;
      if (started === undefined || startsWithout.get(name) !== bound) continue;
      const message = `class ${name} with floor ${floorPercent}% waited through ${bound} starts`;
      violations.push({ rule: 'P2', message, eventIndices: [index] });
    }
  });
  return violations;
}

function listBacklogged(replay: Replay): Set<string> {
  const names = new Set<string>();
  for (const { event } of replay.waiting.values()) {
    if (event.excludedServerIds.length > 0 || replay.suspects.has(event.fingerprint)) continue;
    names.add(event.className);
  }
  return names;
}
