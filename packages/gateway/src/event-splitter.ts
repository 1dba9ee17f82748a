import { ByteCollector } from './byte-collector';

const LINE_FEED = 0x0a;
/** A comment, `name: value`, or the name of a field without a value; a byte order mark may precede it. */
const FIELD_LINE =
  /^(?:\u00ef\u00bb\u00bf)?(?:(?<name>[\w!#$%&'*+.^`|~-]*):|(?<bareName>data|id|event|retry)$)/;
const STANDARD_FIELDS: ReadonlySet<string> = new Set(['data', 'id', 'event', 'retry']);

/** Complete events of a stream. */
export interface EventBatch {
  bytes: Buffer;
  lastEventId: string | undefined;
  /** Ids of the events with a data or id field; undefined for an event without an id. */
  ids: (string | undefined)[];
  /** Lines that were parsed, empty ones included. */
  lineCount: number;
  /** Whether text follows that is not an event, such as the head of another response. It is not part of `bytes`. */
  isMalformed: boolean;
}

/** Largest event in bytes. */
export const MAX_EVENT_BYTES = 2 ** 20;
/** Bytes of an empty line that can stand before the last one, with CRLF at the ends of lines. */
const BOUNDARY_BYTES = 3;
const EMPTY_BATCH: EventBatch = {
  ...{ bytes: Buffer.alloc(0), lastEventId: undefined, ids: [], lineCount: 0, isMalformed: false },
};

/** Splits a stream at event boundaries, so that forwarded data never ends inside an event. */
export class EventSplitter {
  /** The incomplete event. */
  private readonly pending = new ByteCollector();

  /**
   * Adds received bytes and returns the events that they complete, concatenated. Only the new bytes are searched and nothing is
   * joined until an event is complete, so that the cost does not grow with the size of an event.
   */
  readEvents(chunk: Buffer): EventBatch {
    const end = this.#findEnd(chunk);
    if (end === 0) {
      this.pending.add(chunk);
      return EMPTY_BATCH;
    }
    const bytes = this.pending.take(chunk.subarray(0, end));
    if (end < chunk.length) this.pending.add(chunk.subarray(end));
    return parseEvents(bytes);
  }

  /** Whether bytes of an incomplete event are buffered. */
  hasPartialEvent(): boolean {
    return this.pending.countBytes() > 0;
  }

  /** Whether the incomplete event is larger than `MAX_EVENT_BYTES`. */
  isEventTooLarge(): boolean {
    return this.pending.countBytes() > MAX_EVENT_BYTES;
  }

  /** Returns the offset in the chunk after the last empty line, which may begin in the bytes before; 0 when there is none. */
  #findEnd(chunk: Buffer): number {
    if (!chunk.includes(LINE_FEED)) return 0;
    const before = this.pending.readTail(BOUNDARY_BYTES);
    if (before.length === 0) return findLastBoundary(chunk);
    return Math.max(0, findLastBoundary(Buffer.concat([before, chunk])) - before.length);
  }
}

/** Returns the offset after the last empty line, or 0 when there is none. */
function findLastBoundary(bytes: Buffer): number {
  let index = bytes.lastIndexOf(LINE_FEED);
  for (; index > 0; index = bytes.lastIndexOf(LINE_FEED, index - 1)) {
    if (bytes[index - 1] === LINE_FEED) return index + 1;
    const isCrLfBoundary =
      bytes[index - 1] === 0x0d && index >= 2 && bytes[index - 2] === LINE_FEED;
    if (isCrLfBoundary) return index + 1;
  }
  return 0;
}

/** Parses complete events up to the first text that is not an event. */
function parseEvents(bytes: Buffer): EventBatch {
  // One character a byte, so that offsets in the text are offsets in the bytes.
  const text = bytes.toString('latin1');
  const ids: (string | undefined)[] = [];
  let eventStart = 0;
  let lines: string[] = [];
  let lineStart = 0;
  let lineCount = 0;
  while (lineStart < text.length) {
    const lineEnd = text.indexOf('\n', lineStart);
    const line = text.slice(lineStart, lineEnd).replace(/\r$/, '');
    lineStart = lineEnd + 1;
    lineCount += 1;
    if (line !== '') {
      lines.push(line);
      continue;
    }
    const fields = parseFields(lines);
    if (fields === undefined) {
      return createBatch({
        bytes: bytes.subarray(0, eventStart),
        ids,
        lineCount,
        isMalformed: true,
      });
    }
    if (fields.has('data') || fields.has('id')) ids.push(fields.get('id'));
    eventStart = lineStart;
    lines = [];
  }
  return createBatch({ bytes, ids, lineCount, isMalformed: false });
}

function createBatch(batch: Omit<EventBatch, 'lastEventId'>): EventBatch {
  return { ...batch, lastEventId: batch.ids.findLast((id) => id !== undefined) };
}

/** Parses the fields of an event, without comments; undefined when the lines are not an event. */
function parseFields(lines: readonly string[]): Map<string, string> | undefined {
  const fields = new Map<string, string>();
  for (const line of lines) {
    const groups = FIELD_LINE.exec(line)?.groups;
    if (groups === undefined) return undefined;
    const name = groups['name'] ?? groups['bareName'] ?? '';
    if (name !== '') fields.set(name, line.slice(line.indexOf(':') + 1).replace(/^ /, ''));
  }
  const isEvent = fields.size === 0 || [...fields.keys()].some((name) => STANDARD_FIELDS.has(name));
  return isEvent ? fields : undefined;
}
