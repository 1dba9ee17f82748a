const LINE_FEED = 0x0a;

/** Complete events of a stream and the last event id among them. */
export interface EventBatch {
  bytes: Buffer;
  lastEventId: string | undefined;
}

/** Splits a stream at event boundaries, so that forwarded data never ends inside an event. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Adds received bytes and returns the events that they complete, concatenated. */
  readEvents(chunk: Buffer): EventBatch {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = findLastBoundary(bytes);
    this.pending = bytes.subarray(end);
    const complete = bytes.subarray(0, end);
    return { bytes: complete, lastEventId: findLastEventId(complete) };
  }

  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }
}

/** Returns the offset after the last empty line, or 0 when there is none. */
function findLastBoundary(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    const isCrLfBoundary =
      bytes[index - 1] === 0x0d && index >= 2 && bytes[index - 2] === LINE_FEED;
    if (isCrLfBoundary) return index + 1;
  }
  return 0;
}

function findLastEventId(bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined;
  const matches = [...bytes.toString('latin1').matchAll(/^id:[ ]?([^\r\n]*)/gm)];
  return matches.at(-1)?.[1];
}
