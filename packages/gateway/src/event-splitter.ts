const LINE_FEED = 0x0a;

/** Whole events of a stream and the id of the last one. */
export interface EventBatch {
  bytes: Buffer;
  lastEventId: string | undefined;
}

/** Splits a stream into whole events, so that what is sent on never ends inside one. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Takes received bytes and returns the events that they complete, as one piece of bytes. */
  readEvents(chunk: Buffer): EventBatch {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = findLastBoundary(bytes);
    this.pending = bytes.subarray(end);
    const complete = bytes.subarray(0, end);
    return { bytes: complete, lastEventId: findLastEventId(complete) };
  }

  /** Bytes of an event that is not complete. */
  hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }
}

/** Offset behind the last empty line, or 0. */
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
