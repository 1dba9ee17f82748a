import type { Cause } from '@pollendrum/protocol';
import type { FinishResult, GrantReason, SchedulingClass } from './types';

/**
 * Event of a scheduler, emitted in the order of occurrence. Times are in milliseconds of the scheduler's clock.
 */
export type SchedulerEvent =
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
  /**
   * The request was removed from the queue without a decision, because it was withdrawn or because a grant from
   * another dispatcher was adopted.
   */
  | { kind: 'remove'; atMs: number; attemptId: string }
  | { kind: 'finish'; atMs: number; attemptId: string; result: FinishResult }
  /** The fingerprint's crash status was updated; `isSuspect` is true unless the status is `clean`. */
  | { kind: 'suspect'; atMs: number; fingerprint: string; isSuspect: boolean };

/** A violated scheduling rule and the indices of the events that show the violation. */
export interface Violation {
  rule: 'P1' | 'P2';
  message: string;
  eventIndices: number[];
}

type EnqueueEvent = Extract<SchedulerEvent, { kind: 'enqueue' }>;
type StartEvent = Extract<SchedulerEvent, { kind: 'start' }>;

/** State that the checks rebuild from a log: waiting requests and suspect fingerprints. */
interface ReplayState {
  waiting: Map<string, { event: EnqueueEvent; index: number; wasSuspect: boolean }>;
  suspects: Set<string>;
}

function applyEvent(replay: ReplayState, event: SchedulerEvent, index: number): void {
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
    case 'remove':
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
 * Checks rule P1. Let R be a request that is shed for lack of capacity. While R waited, no request of a lower tier
 * may start. Exceptions: floor starts, probes, starts on servers that R excludes, and all starts if R was a crash
 * suspect at any time while it waited. If R is shed from a full queue, no request of a lower tier may remain in the
 * queue.
 */
export function checkTierOrder(events: readonly SchedulerEvent[]): Violation[] {
  const replay: ReplayState = { waiting: new Map(), suspects: new Set() };
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
  shed: Extract<SchedulerEvent, { kind: 'shed' }>,
  index: number,
  replay: ReplayState,
  starts: readonly { event: StartEvent; index: number }[],
): Violation[] {
  const shedRequest = replay.waiting.get(shed.attemptId);
  if (shedRequest === undefined || !isCapacityCause(shed.cause)) return [];
  const violations: Violation[] = [];
  for (let at = starts.length - 1; at >= 0; at -= 1) {
    const start = starts[at] as { event: StartEvent; index: number };
    if (start.index < shedRequest.index) break;
    if (shedRequest.wasSuspect || !isLowerTierStart(start.event, shedRequest.event)) continue;
    const message = `${start.event.attemptId} of tier ${start.event.tier} started while ${shed.attemptId} of tier ${shedRequest.event.tier} waited and was shed`;
    violations.push({ rule: 'P1', message, eventIndices: [shedRequest.index, start.index, index] });
  }
  if (shed.cause.kind !== 'queue-full') return violations;
  for (const other of replay.waiting.values()) {
    if (other.event.tier <= shedRequest.event.tier) continue;
    const message = `${shed.attemptId} of tier ${shedRequest.event.tier} was shed from a full queue while ${other.event.attemptId} of tier ${other.event.tier} waited`;
    violations.push({ rule: 'P1', message, eventIndices: [other.index, index] });
  }
  return violations;
}

function isLowerTierStart(start: StartEvent, shedRequest: EnqueueEvent): boolean {
  if (start.tier <= shedRequest.tier || start.reason !== 'tier') return false;
  return !shedRequest.excludedServerIds.includes(start.serverId);
}

function isCapacityCause(cause: Cause): boolean {
  return (
    cause.kind === 'queue-wait-over-budget' ||
    cause.kind === 'queue-full' ||
    cause.kind === 'queue-timeout'
  );
}

/**
 * Checks rule P2: a class with a floor of f percent that stays backlogged gets at least one of every
 * `ceil(100 / f) + classes` starts of the shard. A class is backlogged if it has a waiting request that any
 * free slot could run, that is, a request without excluded servers that is not a crash suspect.
 */
export function checkNoStarvation(
  events: readonly SchedulerEvent[],
  classes: readonly SchedulingClass[],
): Violation[] {
  const replay: ReplayState = { waiting: new Map(), suspects: new Set() };
  const classesWithFloor = classes.filter(({ floorPercent }) => floorPercent > 0);
  const missedStarts = new Map<string, number>();
  const violations: Violation[] = [];
  events.forEach((event, index) => {
    const started = event.kind === 'start' ? event : undefined;
    applyEvent(replay, event, index);
    const backlogged = listBacklogged(replay);
    for (const { name, floorPercent } of classesWithFloor) {
      const missed = missedStarts.get(name) ?? 0;
      if (started?.className === name || !backlogged.has(name)) missedStarts.set(name, 0);
      else if (started !== undefined) missedStarts.set(name, missed + 1);
      const bound = Math.ceil(100 / floorPercent) + classes.length;
      if (started === undefined || missedStarts.get(name) !== bound) continue;
      const message = `class ${name} with floor ${floorPercent}% waited through ${bound} starts`;
      violations.push({ rule: 'P2', message, eventIndices: [index] });
    }
  });
  return violations;
}

function listBacklogged(replay: ReplayState): Set<string> {
  const names = new Set<string>();
  for (const { event } of replay.waiting.values()) {
    if (event.excludedServerIds.length > 0 || replay.suspects.has(event.fingerprint)) continue;
    names.add(event.className);
  }
  return names;
}
