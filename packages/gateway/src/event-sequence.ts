const NUMERIC_ID = /^\d{1,15}$/;

/** Ids of the events that a caller has received in one response. */
export class EventSequence {
  private eventCount = 0;
  private lastId: string | undefined;
  /** Whether each id is one more than the id before it; undefined while fewer than two ids are known. */
  private isConsecutive: boolean | undefined;

  /** Whether another server can go on after the last event, which needs that event's id. */
  isResumable(): boolean {
    return this.eventCount === 0 || this.lastId !== undefined;
  }

  /** Finds out why an event cannot be the first one of a resumed stream; undefined when it can. */
  findResumptionError(id: string | undefined): string | undefined {
    if (this.eventCount === 0) return undefined;
    if (id === undefined) return 'the resumed stream begins with an event without an id';
    if (id === this.lastId) return 'the resumed stream repeats an event';
    const step = computeStep(this.lastId, id);
    if (step === undefined) return undefined;
    if (step <= 0) return 'the resumed stream repeats an event';
    return step > 1 && this.isConsecutive === true
      ? 'the resumed stream leaves out an event'
      : undefined;
  }

  /** Adds the ids of forwarded events; undefined for an event without an id. */
  recordEvents(ids: readonly (string | undefined)[]): void {
    for (const id of ids) {
      if (this.eventCount > 0) {
        this.isConsecutive = this.isConsecutive !== false && computeStep(this.lastId, id) === 1;
      }
      this.eventCount += 1;
      this.lastId = id;
    }
  }
}

function computeStep(from: string | undefined, to: string | undefined): number | undefined {
  if (from === undefined || to === undefined) return undefined;
  return NUMERIC_ID.test(from) && NUMERIC_ID.test(to) ? Number(to) - Number(from) : undefined;
}
