import type { ClassQueue } from './fair-queue';

/** Credit of one start, in percent points; whole numbers keep the sums exact. */
const CREDIT_PER_START = 100;
/** A class whose requests cannot start anywhere saves up at most two starts. */
const MAX_CREDIT = 2 * CREDIT_PER_START;

/** Gives each backlogged class its floor as a share of starts. */
export class Floors {
  private startCount = 0;

  /**
   * Classes that are due for a floor start. The one that became due first goes first, and the highest
   * tier among those that became due together: if the highest tier always went first, a class with a
   * large floor could become due twice while a lower one waits, and P2 would not hold.
   */
  listDue(classes: readonly ClassQueue[]): ClassQueue[] {
    return classes
      .filter((classQueue) => classQueue.count > 0 && classQueue.floorCredit >= CREDIT_PER_START)
      .sort((a, b) => a.dueSince - b.dueSince);
  }

  /** Credits the backlogged classes for a start; called before the started request leaves its queue. */
  recordStart(classes: readonly ClassQueue[], started: ClassQueue, isFloorStart: boolean): void {
    this.startCount += 1;
    for (const classQueue of classes) {
      if (classQueue.count === 0) continue;
      const before = classQueue.floorCredit;
      const after = Math.min(MAX_CREDIT, before + classQueue.settings.floorPercent);
      classQueue.floorCredit = after;
      if (before < CREDIT_PER_START && after >= CREDIT_PER_START) {
        classQueue.dueSince = this.startCount;
      }
    }
    if (!isFloorStart) return;
    started.floorCredit -= CREDIT_PER_START;
    started.dueSince = this.startCount;
  }
}
