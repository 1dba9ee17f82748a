import type { CrashTracker } from './crash-tracker';
import type { ClassQueue, ServerConstraint, WaitingRequest } from './fair-queue';
import type { FloorCredits } from './floor-credits';
import { Headroom } from './headroom';
import type { RequestQueue } from './queue';
import { isStartableOn, chooseServer } from './server-choice';
import { hasFreeSlot, type ServerTable, type TrackedServer } from './server-table';
import type { GrantReason } from './types';

/** The shard's state that a scheduling pass uses. */
export interface SchedulingPassInput {
  queue: RequestQueue;
  floorCredits: FloorCredits;
  table: ServerTable;
  crashTracker: CrashTracker;
  headroomRatio: number | undefined;
  nowMs: number;
}

/** A waiting request that can start, and the server for it. */
export interface StartChoice {
  waiting: WaitingRequest;
  serverId: string;
  reason: GrantReason;
  /**
   * Whether the start spends the class's floor credit; also true for a probe request of a class that was due.
   */
  isFloorStart: boolean;
}

interface Candidate {
  waiting: WaitingRequest;
  isFloorStart: boolean;
}

/**
 * One pass that fills free slots with waiting requests. Slots are only taken during a pass, so a constraint
 * that cannot be satisfied is not checked again.
 */
export class SchedulingPass {
  private readonly healthy: TrackedServer[];
  private readonly headroom: Headroom;
  private readonly unmetConstraints = new Set<string>();
  private probeTargets: TrackedServer[];

  constructor(private readonly input: SchedulingPassInput) {
    const { queue, table, nowMs } = input;
    this.healthy = table.listInState('healthy', nowMs);
    this.probeTargets = table.listProbeTargets(nowMs);
    this.headroom = new Headroom(queue.listTiers(), this.healthy, input.headroomRatio);
  }

  /** Chooses the next request to start; undefined if no request can start. */
  chooseNext(): StartChoice | undefined {
    if (this.probeTargets.length === 0 && !this.healthy.some(hasFreeSlot)) return undefined;
    const candidate = this.chooseFloorStart() ?? this.chooseTierStart();
    if (candidate === undefined) return undefined;
    return this.chooseProbeTarget(candidate) ?? this.chooseHealthyServer(candidate);
  }

  private chooseFloorStart(): Candidate | undefined {
    for (const classQueue of this.input.floorCredits.listDue(this.input.queue.classes)) {
      const waiting = this.findStartable(classQueue);
      if (waiting !== undefined) return { waiting, isFloorStart: true };
    }
    return undefined;
  }

  /**
   * Chooses by strict tier priority and, within a tier, by the first-byte due time (arrival time plus
   * first-byte target) of its classes' next requests, earliest first.
   */
  private chooseTierStart(): Candidate | undefined {
    let best: WaitingRequest | undefined;
    for (const classQueue of this.input.queue.classes) {
      if (classQueue.count === 0) continue;
      if (best !== undefined && classQueue.settings.tier > best.classQueue.settings.tier) break;
      const hasHeadroom = this.headroom.countAvailable(classQueue.settings.tier) > 0;
      if (!hasHeadroom && this.probeTargets.length === 0) break;
      const waiting = this.findStartable(classQueue);
      if (waiting === undefined) continue;
      if (!hasHeadroom && !isProbeCandidate(waiting)) continue;
      if (best === undefined || computeFirstByteDueMs(waiting) < computeFirstByteDueMs(best))
        best = waiting;
    }
    return best === undefined ? undefined : { waiting: best, isFloorStart: false };
  }

  private chooseProbeTarget({ waiting, isFloorStart }: Candidate): StartChoice | undefined {
    const probeTarget = this.probeTargets[0];
    if (probeTarget === undefined || !isProbeCandidate(waiting)) return undefined;
    this.probeTargets = this.probeTargets.slice(1);
    return { waiting, serverId: probeTarget.id, reason: 'probe', isFloorStart };
  }

  private chooseHealthyServer({ waiting, isFloorStart }: Candidate): StartChoice | undefined {
    const usable = this.healthy.filter((server) => this.isStartable(server, waiting.constraint));
    const chosen = chooseServer(waiting.request, usable, this.healthy);
    if (chosen === undefined) return undefined;
    this.headroom.addUse(waiting.classQueue.settings.tier);
    const reason = isFloorStart ? 'floor' : 'tier';
    return { waiting, serverId: chosen.id, reason, isFloorStart };
  }

  private findStartable(classQueue: ClassQueue): WaitingRequest | undefined {
    return classQueue.findStartable((constraint) => this.isSatisfiable(constraint));
  }

  private isSatisfiable(constraint: ServerConstraint): boolean {
    if (constraint.key === '' && this.probeTargets.length > 0) return true;
    if (this.unmetConstraints.has(constraint.key)) return false;
    if (this.healthy.some((server) => this.isStartable(server, constraint))) return true;
    this.unmetConstraints.add(constraint.key);
    return false;
  }

  private isStartable(server: TrackedServer, constraint: ServerConstraint): boolean {
    return isStartableOn(server, constraint, this.input.table, this.input.crashTracker);
  }
}

/**
 * Excludes crash suspects and retries with excluded servers: their result says little about the server, and a
 * failed probe could be their last attempt.
 */
function isProbeCandidate(waiting: WaitingRequest): boolean {
  return waiting.constraint.key === '';
}

function computeFirstByteDueMs({ request, classQueue }: WaitingRequest): number {
  return request.arrivedAtMs + classQueue.settings.targetFirstByteMs;
}
