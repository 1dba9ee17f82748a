import type { CrashLedger } from './crash-ledger';
import type { ClassQueue, Constraint, WaitingRequest } from './fair-queue';
import type { Floors } from './floors';
import { Headroom } from './headroom';
import type { RequestQueue } from './queue';
import { isStartableOn, chooseServer } from './server-choice';
import { hasFreeSlot, type ServerTable, type ServerUse } from './server-table';
import type { GrantReason } from './types';

/** What one pass over free slots works on. */
export interface PassInput {
  queue: RequestQueue;
  floors: Floors;
  table: ServerTable;
  ledger: CrashLedger;
  headroomRatio: number | undefined;
  nowMs: number;
}

/** The next start. */
export interface StartChoice {
  waiting: WaitingRequest;
  serverId: string;
  reason: GrantReason;
  /** A probe of a class that was due still spends the class's floor credit. */
  isFloorStart: boolean;
}

interface Candidate {
  waiting: WaitingRequest;
  isFloorStart: boolean;
}

/**
 * One pass over the free slots. During a pass slots only fill up, so a constraint that cannot be met
 * stays so and is not checked again.
 */
export class StartPass {
  private readonly healthy: ServerUse[];
  private readonly headroom: Headroom;
  private readonly unmetConstraints = new Set<string>();
  private probeable: ServerUse[];

  constructor(private readonly input: PassInput) {
    const { queue, table, nowMs } = input;
    this.healthy = table.listInState('healthy', nowMs);
    this.probeable = table.listProbeable(nowMs);
    this.headroom = new Headroom(queue.listTiers(), this.healthy, input.headroomRatio);
  }

  /** Chooses the next start; undefined when nothing can start. */
  chooseNext(): StartChoice | undefined {
    if (this.probeable.length === 0 && !this.healthy.some(hasFreeSlot)) return undefined;
    const candidate = this.chooseDue() ?? this.chooseByTier();
    if (candidate === undefined) return undefined;
    return this.chooseProbe(candidate) ?? this.chooseRegular(candidate);
  }

  private chooseDue(): Candidate | undefined {
    for (const classQueue of this.input.floors.listDue(this.input.queue.classes)) {
      const waiting = this.findStartable(classQueue);
      if (waiting !== undefined) return { waiting, isFloorStart: true };
    }
    return undefined;
  }

  /** Strict tier order; within a tier, the earliest deadline among the heads of its classes. */
  private chooseByTier(): Candidate | undefined {
    let best: WaitingRequest | undefined;
    for (const classQueue of this.input.queue.classes) {
      if (classQueue.count === 0) continue;
      if (best !== undefined && classQueue.settings.tier > best.classQueue.settings.tier) break;
      const isOpen = this.headroom.countOpen(classQueue.settings.tier) > 0;
      if (!isOpen && this.probeable.length === 0) break;
      const waiting = this.findStartable(classQueue);
      if (waiting === undefined) continue;
      if (!isOpen && !isProbeCandidate(waiting)) continue;
      if (best === undefined || computeDeadline(waiting) < computeDeadline(best)) best = waiting;
    }
    return best === undefined ? undefined : { waiting: best, isFloorStart: false };
  }

  private chooseProbe({ waiting, isFloorStart }: Candidate): StartChoice | undefined {
    const target = this.probeable[0];
    if (target === undefined || !isProbeCandidate(waiting)) return undefined;
    this.probeable = this.probeable.slice(1);
    return { waiting, serverId: target.id, reason: 'probe', isFloorStart };
  }

  private chooseRegular({ waiting, isFloorStart }: Candidate): StartChoice | undefined {
    const usable = this.healthy.filter((use) => this.isStartable(use, waiting.constraint));
    const server = chooseServer(waiting.request, usable, this.healthy);
    if (server === undefined) return undefined;
    this.headroom.addUse(waiting.classQueue.settings.tier);
    const reason = isFloorStart ? 'floor' : 'tier';
    return { waiting, serverId: server.id, reason, isFloorStart };
  }

  private findStartable(classQueue: ClassQueue): WaitingRequest | undefined {
    return classQueue.findStartable((constraint) => this.isMet(constraint));
  }

  private isMet(constraint: Constraint): boolean {
    if (constraint.key === '' && this.probeable.length > 0) return true;
    if (this.unmetConstraints.has(constraint.key)) return false;
    if (this.healthy.some((use) => this.isStartable(use, constraint))) return true;
    this.unmetConstraints.add(constraint.key);
    return false;
  }

  private isStartable(use: ServerUse, constraint: Constraint): boolean {
    return isStartableOn(use, constraint, this.input.table, this.input.ledger);
  }
}

/** Suspects and further attempts are no probes: they would tell little about the server, or fail for good. */
function isProbeCandidate(waiting: WaitingRequest): boolean {
  return waiting.constraint.key === '';
}

function computeDeadline({ request, classQueue }: WaitingRequest): number {
  return request.arrivedAtMs + classQueue.settings.targetFirstByteMs;
}
