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
  /** Whether text follows that is not an event, such as the head of another response. It is not part of `bytes`. */
  isMalformed: boolean;
}

/** Splits a stream at event boundaries, so that forwarded data never ends inside an event. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Adds received bytes and returns the events that they complete, concatenated. */
  readEvents(chunk: Buffer): EventBatch {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = findLastBoundary(bytes);
    this.pending = bytes.subarray(end);
    return parseEvents(bytes.subarray(0, end));
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

/** Parses complete events up to the first text that is not an event. */
function parseEvents(bytes: Buffer): EventBatch {
  // One character a byte, so that offsets in the text are offsets in the bytes.
  const text = bytes.toString('latin1');
  const ids: (string | undefined)[] = [];
  let eventStart = 0;
  let lines: string[] = [];
  let lineStart = 0;
  while (lineStart < text.length) {
    const lineEnd = text.indexOf('\n', lineStart);
    const line = text.slice(lineStart, lineEnd).replace(/\r$/, '');
    lineStart = lineEnd + 1;
    if (line !== '') {
      lines.push(line);
      continue;
    }
    const fields = parseFields(lines);
    if (fields === undefined) {
      return createBatch(bytes.subarray(0, eventStart), ids, true);
    }
    if (fields.has('data') || fields.has('id')) ids.push(fields.get('id'));
    eventStart = lineStart;
    lines = [];
  }
  return createBatch(bytes, ids, false);
}

function createBatch(bytes: Buffer, ids: (string | undefined)[], isMalformed: boolean): EventBatch {
  return { bytes, lastEventId: ids.findLast((id) => id !== undefined), ids, isMalformed };
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
