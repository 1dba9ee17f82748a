import { Heap } from './heap';
import type { QueuedRequest, SchedulingClass } from './types';

/** Restricts the servers on which a request may start. */
export interface ServerConstraint {
  /** Requests with equal keys can start on the same servers; empty when there is no restriction. */
  key: string;
  /** The request's fingerprint; set unless its crash status is `clean`. */
  suspectFingerprint?: string;
  excludedServerIds: readonly string[];
}

export const UNCONSTRAINED: ServerConstraint = { key: '', excludedServerIds: [] };

/** A request in the queue with its time limits and estimates. */
export interface WaitingRequest {
  request: QueuedRequest;
  classQueue: ClassQueue;
  constraint: ServerConstraint;
  /** Increases with each enqueue; breaks ties between equal arrival times. */
  sequence: number;
  /** Time from which the request's queue budget is counted, in milliseconds. */
  budgetStartMs: number;
  /** Time at which this scheduler queued the request, in milliseconds. */
  enqueuedAtMs: number;
  /** Time at which the request is shed if it has not started, in milliseconds. */
  timeoutAtMs: number;
  /**
   * Time after which the request is shed even if a slot is free, in milliseconds: for goodput classes by the upper
   * estimate of the service time, otherwise the request's deadline. Never before `timeoutAtMs`.
   */
  latestStartMs: number;
  estimatedServiceMs: number;
  /** Upper estimate of the service time, which few requests exceed, in milliseconds. */
  upperServiceMs: number;
  estimatedTokens: number;
  isWaiting: boolean;
}

/** Requests of one team with the same constraint, oldest first. */
interface ConstraintQueue {
  constraint: ServerConstraint;
  requests: Heap<WaitingRequest>;
  count: number;
}

interface TeamQueue {
  name: string;
  /** Start tag of start-time fair queueing: the virtual time at which the team's next request starts. */
  startTag: number;
  count: number;
  queuesByConstraint: Map<string, ConstraintQueue>;
  /** The team's current heap entry; older entries of the team in the heap count as removed. */
  heapEntry: TeamHeapEntry | undefined;
}

/** Position of a team in the heap, ordered by start tag and then by sequence. */
interface TeamHeapEntry {
  team: TeamQueue;
  startTag: number;
  sequence: number;
}

/** Idle teams are discarded once the map holds this many more than twice the number of busy teams. */
const IDLE_TEAM_SLACK = 1000;

export function isOlder(a: WaitingRequest, b: WaitingRequest): boolean {
  const difference = a.request.arrivedAtMs - b.request.arrivedAtMs;
  return difference === 0 ? a.sequence < b.sequence : difference < 0;
}

/**
 * Waiting requests of one class. Teams share starts by start-time fair queueing; a team's oldest request goes
 * first.
 */
export class ClassQueue {
  count = 0;
  /** Sum of the estimated service times, in milliseconds. */
  totalServiceMs = 0;
  /** Accumulated credit for floor starts in percentage points, see `FloorCredits`. */
  floorCredit = 0;
  /**
   * Start count of the shard at which the class last became due or had a floor start; the class with the lower
   * value goes first.
   */
  dueOrder = 0;
  private virtualTime = 0;
  private entrySequence = 0;
  private busyTeams = 0;
  private readonly teams = new Map<string, TeamQueue>();
  private readonly teamHeap = new Heap<TeamHeapEntry>(
    isEntryBefore,
    (entry) => entry.team.heapEntry === entry,
  );
  /** Heap entries of teams that have no startable request in the current pass. */
  private blockedEntries: TeamHeapEntry[] = [];

  constructor(public settings: SchedulingClass) {}

  add(waiting: WaitingRequest): void {
    const team = this.getTeam(waiting.request.team);
    this.addToConstraintQueue(team, waiting);
    this.count += 1;
    this.totalServiceMs += waiting.estimatedServiceMs;
    if (team.count > 1) return;
    this.busyTeams += 1;
    team.startTag = Math.max(this.virtualTime, team.startTag);
    this.addToHeap(team);
  }

  /** Removes a request without starting it. */
  remove(waiting: WaitingRequest): void {
    const team = this.getTeam(waiting.request.team);
    this.removeFromConstraintQueue(team, waiting);
    this.count -= 1;
    this.totalServiceMs = this.count === 0 ? 0 : this.totalServiceMs - waiting.estimatedServiceMs;
    if (team.count > 0) return;
    this.busyTeams -= 1;
    team.heapEntry = undefined;
    this.teamHeap.discardRemoved(this.busyTeams);
    this.discardIdleTeams();
  }

  /**
   * Removes a request that starts and charges its estimated tokens to the team, divided by the team's weight.
   */
  removeStarted(waiting: WaitingRequest, weight: number): void {
    const team = this.getTeam(waiting.request.team);
    this.virtualTime = Math.max(this.virtualTime, team.startTag);
    team.startTag += waiting.estimatedTokens / weight;
    this.remove(waiting);
    if (team.count > 0) this.addToHeap(team);
  }

  /** Moves a waiting request to another constraint. */
  updateConstraint(waiting: WaitingRequest, constraint: ServerConstraint): void {
    const team = this.getTeam(waiting.request.team);
    this.removeFromConstraintQueue(team, waiting);
    waiting.constraint = constraint;
    this.addToConstraintQueue(team, waiting);
  }

  /**
   * Finds the next request in fair order that can start. A team without a startable request is skipped until
   * `resetPass`, so it is checked once per pass.
   */
  findStartable(canStart: (constraint: ServerConstraint) => boolean): WaitingRequest | undefined {
    for (;;) {
      const entry = this.teamHeap.getFirst();
      if (entry === undefined) return undefined;
      const found = findStartableInTeam(entry.team, canStart);
      if (found !== undefined) return found;
      this.teamHeap.takeFirst();
      this.blockedEntries.push(entry);
    }
  }

  resetPass(): void {
    if (this.blockedEntries.length === 0) return;
    for (const entry of this.blockedEntries) {
      if (entry.team.heapEntry === entry) this.teamHeap.add(entry);
    }
    this.blockedEntries = [];
  }

  private getTeam(name: string): TeamQueue {
    let team = this.teams.get(name);
    if (team === undefined) {
      team = { name, startTag: 0, count: 0, queuesByConstraint: new Map(), heapEntry: undefined };
      this.teams.set(name, team);
    }
    return team;
  }

  private addToHeap(team: TeamQueue): void {
    this.entrySequence += 1;
    team.heapEntry = { team, startTag: team.startTag, sequence: this.entrySequence };
    this.teamHeap.add(team.heapEntry);
  }

  private addToConstraintQueue(team: TeamQueue, waiting: WaitingRequest): void {
    const { constraint } = waiting;
    let constraintQueue = team.queuesByConstraint.get(constraint.key);
    if (constraintQueue === undefined) {
      const isLive = (item: WaitingRequest) =>
        item.isWaiting && item.constraint.key === constraint.key;
      constraintQueue = { constraint, requests: new Heap(isOlder, isLive), count: 0 };
      team.queuesByConstraint.set(constraint.key, constraintQueue);
    }
    constraintQueue.requests.add(waiting);
    constraintQueue.count += 1;
    team.count += 1;
  }

  private removeFromConstraintQueue(team: TeamQueue, waiting: WaitingRequest): void {
    const constraintQueue = team.queuesByConstraint.get(waiting.constraint.key);
    if (constraintQueue === undefined) return;
    constraintQueue.count -= 1;
    team.count -= 1;
    if (constraintQueue.count === 0) team.queuesByConstraint.delete(waiting.constraint.key);
    else constraintQueue.requests.discardRemoved(constraintQueue.count);
  }

  /**
   * Discards idle teams whose start tag is not ahead of the virtual time; recreating them gives the same order.
   */
  private discardIdleTeams(): void {
    if (this.teams.size <= 2 * this.busyTeams + IDLE_TEAM_SLACK) return;
    for (const [name, team] of this.teams) {
      if (team.count === 0 && team.startTag <= this.virtualTime) this.teams.delete(name);
    }
  }
}

function isEntryBefore(a: TeamHeapEntry, b: TeamHeapEntry): boolean {
  return a.startTag === b.startTag ? a.sequence < b.sequence : a.startTag < b.startTag;
}

function findStartableInTeam(
  team: TeamQueue,
  canStart: (constraint: ServerConstraint) => boolean,
): WaitingRequest | undefined {
  let oldest: WaitingRequest | undefined;
  for (const constraintQueue of team.queuesByConstraint.values()) {
    if (!canStart(constraintQueue.constraint)) continue;
    const first = constraintQueue.requests.getFirst();
    if (first === undefined) continue;
    if (oldest === undefined || isOlder(first, oldest)) oldest = first;
  }
  return oldest;
}
