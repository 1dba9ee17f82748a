import { Heap } from './heap';
import type { QueuedRequest, SchedulingClass } from './types';

/** What restricts the servers on which a request may start. */
export interface Constraint {
  /** Requests with equal keys can start on the same servers; empty when there is no restriction. */
  key: string;
  /** Set while the request is a crash suspect. */
  suspectFingerprint?: string;
  excludedServerIds: readonly string[];
}

export const UNCONSTRAINED: Constraint = { key: '', excludedServerIds: [] };

/** A request in the queue. */
export interface WaitingRequest {
  request: QueuedRequest;
  classQueue: ClassQueue;
  constraint: Constraint;
  /** Rises with each enqueue; breaks ties of arrival. */
  sequence: number;
  /** Start of the time that counts against the class's budget, in milliseconds. */
  queuedSinceMs: number;
  enqueuedAtMs: number;
  /** End of its time in the queue, in milliseconds. */
  timeoutAtMs: number;
  /** A later start would be wasted work, in milliseconds; never before `timeoutAtMs`. */
  usefulUntilMs: number;
  estimatedServiceMs: number;
  /** Service time that few requests exceed, in milliseconds. */
  longServiceMs: number;
  estimatedTokens: number;
  isWaiting: boolean;
}

/** Requests of one team with the same constraint, oldest first. */
interface Lane {
  constraint: Constraint;
  requests: Heap<WaitingRequest>;
  count: number;
}

interface TeamQueue {
  name: string;
  /** Virtual time at which the team's next request starts. */
  startTag: number;
  count: number;
  lanes: Map<string, Lane>;
  /** The team's valid place in the heap; older places are void. */
  place: Place | undefined;
}

interface Place {
  team: TeamQueue;
  startTag: number;
  sequence: number;
}

/** Idle teams are dropped once there are this many more teams than busy ones. */
const IDLE_TEAM_SLACK = 1000;

export function isOlder(a: WaitingRequest, b: WaitingRequest): boolean {
  const difference = a.request.arrivedAtMs - b.request.arrivedAtMs;
  return difference === 0 ? a.sequence < b.sequence : difference < 0;
}

/** The waiting requests of one class: start-time fair queueing between teams, oldest first in a team. */
export class ClassQueue {
  count = 0;
  /** Sum of the estimated service times, in milliseconds. */
  totalServiceMs = 0;
  /** Percent points saved up for floor starts, see Floors. */
  floorCredit = 0;
  /** Number of the start at which the class became due for a floor start. */
  dueSince = 0;
  private virtualTime = 0;
  private placeSequence = 0;
  private busyTeams = 0;
  private readonly teams = new Map<string, TeamQueue>();
  private readonly places = new Heap<Place>(isPlaceBefore, (place) => place.team.place === place);
  /** Teams that cannot start anything in the current pass. */
  private blockedPlaces: Place[] = [];

  constructor(public settings: SchedulingClass) {}

  add(waiting: WaitingRequest): void {
    const team = this.getTeam(waiting.request.team);
    this.addToLane(team, waiting);
    this.count += 1;
    this.totalServiceMs += waiting.estimatedServiceMs;
    if (team.count > 1) return;
    this.busyTeams += 1;
    team.startTag = Math.max(this.virtualTime, team.startTag);
    this.setPlace(team);
  }

  /** Removes a request that will not start. */
  remove(waiting: WaitingRequest): void {
    const team = this.getTeam(waiting.request.team);
    this.removeFromLane(team, waiting);
    this.count -= 1;
    this.totalServiceMs = this.count === 0 ? 0 : this.totalServiceMs - waiting.estimatedServiceMs;
    if (team.count > 0) return;
    this.busyTeams -= 1;
    team.place = undefined;
    this.places.discardRemoved(this.busyTeams);
    this.discardIdleTeams();
  }

  /** Removes a request that starts and charges its team; `weight` is the team's share. */
  takeStarted(waiting: WaitingRequest, weight: number): void {
    const team = this.getTeam(waiting.request.team);
    this.virtualTime = Math.max(this.virtualTime, team.startTag);
    team.startTag += waiting.estimatedTokens / weight;
    this.remove(waiting);
    if (team.count > 0) this.setPlace(team);
  }

  /** Moves a waiting request to another constraint. */
  updateConstraint(waiting: WaitingRequest, constraint: Constraint): void {
    const team = this.getTeam(waiting.request.team);
    this.removeFromLane(team, waiting);
    waiting.constraint = constraint;
    this.addToLane(team, waiting);
  }

  /**
   * Next request in fair order that can start. A team found unable to start anything is passed over until
   * `resetPass`, so it costs one check a pass.
   */
  findStartable(canStart: (constraint: Constraint) => boolean): WaitingRequest | undefined {
    for (;;) {
      const place = this.places.getFirst();
      if (place === undefined) return undefined;
      const found = findInTeam(place.team, canStart);
      if (found !== undefined) return found;
      this.places.takeFirst();
      this.blockedPlaces.push(place);
    }
  }

  resetPass(): void {
    if (this.blockedPlaces.length === 0) return;
    for (const place of this.blockedPlaces) {
      if (place.team.place === place) this.places.add(place);
    }
    this.blockedPlaces = [];
  }

  private getTeam(name: string): TeamQueue {
    let team = this.teams.get(name);
    if (team === undefined) {
      team = { name, startTag: 0, count: 0, lanes: new Map(), place: undefined };
      this.teams.set(name, team);
    }
    return team;
  }

  private setPlace(team: TeamQueue): void {
    this.placeSequence += 1;
    team.place = { team, startTag: team.startTag, sequence: this.placeSequence };
    this.places.add(team.place);
  }

  private addToLane(team: TeamQueue, waiting: WaitingRequest): void {
    const { constraint } = waiting;
    let lane = team.lanes.get(constraint.key);
    if (lane === undefined) {
      const isLive = (item: WaitingRequest) =>
        item.isWaiting && item.constraint.key === constraint.key;
      lane = { constraint, requests: new Heap(isOlder, isLive), count: 0 };
      team.lanes.set(constraint.key, lane);
    }
    lane.requests.add(waiting);
    lane.count += 1;
    team.count += 1;
  }

  private removeFromLane(team: TeamQueue, waiting: WaitingRequest): void {
    const lane = team.lanes.get(waiting.constraint.key);
    if (lane === undefined) return;
    lane.count -= 1;
    team.count -= 1;
    if (lane.count === 0) team.lanes.delete(waiting.constraint.key);
    else lane.requests.discardRemoved(lane.count);
  }

  /** A team behind the virtual time loses nothing when it is forgotten. */
  private discardIdleTeams(): void {
    if (this.teams.size <= 2 * this.busyTeams + IDLE_TEAM_SLACK) return;
    for (const [name, team] of this.teams) {
      if (team.count === 0 && team.startTag <= this.virtualTime) this.teams.delete(name);
    }
  }
}

function isPlaceBefore(a: Place, b: Place): boolean {
  return a.startTag === b.startTag ? a.sequence < b.sequence : a.startTag < b.startTag;
}

function findInTeam(
  team: TeamQueue,
  canStart: (constraint: Constraint) => boolean,
): WaitingRequest | undefined {
  let oldest: WaitingRequest | undefined;
  for (const lane of team.lanes.values()) {
    if (!canStart(lane.constraint)) continue;
    const first = lane.requests.getFirst();
    if (first === undefined) continue;
    if (oldest === undefined || isOlder(first, oldest)) oldest = first;
  }
  return oldest;
}
