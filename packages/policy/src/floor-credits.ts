import type { ClassQueue } from './fair-queue';

/** Credit that one start costs, in percentage points; whole numbers keep the sums exact. */
const CREDIT_PER_START = 100;
/** Limits a class whose requests cannot start anywhere to the credit of two starts. */
const MAX_CREDIT = 2 * CREDIT_PER_START;

/**
 * Updates the floor credits of the classes, so that each class with waiting requests gets its floor, a minimum
 * share of starts.
 */
export class FloorCredits {
  private startCount = 0;

  /**
   * Lists the classes that are due for a floor start, in the order in which they became due; classes that
   * became due at the same start are listed by tier. If the highest tier always went first, a class with a
   * large floor could become due twice while a lower class waits, which would violate rule P2.
   */
  listDue(classes: readonly ClassQueue[]): ClassQueue[] {
    return classes
      .filter((classQueue) => classQueue.count > 0 && classQueue.floorCredit >= CREDIT_PER_START)
      .sort((a, b) => a.dueOrder - b.dueOrder);
  }

  /**
   * Adds the credit of one start to each class that has waiting requests. Call it before removing the started
   * request.
   */
  recordStart(classes: readonly ClassQueue[], started: ClassQueue, isFloorStart: boolean): void {
    this.startCount += 1;
    for (const classQueue of classes) {
      if (classQueue.count === 0) continue;
      const before = classQueue.floorCredit;
      const after = Math.min(MAX_CREDIT, before + classQueue.settings.floorPercent);
      classQueue.floorCredit = after;
      if (before < CREDIT_PER_START && after >= CREDIT_PER_START) {
        classQueue.dueOrder = this.startCount;
      }
    }
    if (!isFloorStart) return;
    started.floorCredit -= CREDIT_PER_START;
    started.dueOrder = this.startCount;
  }
}
