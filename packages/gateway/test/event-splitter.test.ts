import { expect, test } from 'vitest';
import { EventSplitter, MAX_EVENT_BYTES } from '../src/event-splitter';

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: b\r\n\r\n', ': comment\n\n', 'data: c\n\n'];

// Guards against boundaries that are missed or events that are cut where received bytes end inside a line end.
test.each([1, 2, 3, 5, 7, 1_000])('events are split alike in parts of %i bytes', (size) => {
  const splitter = new EventSplitter();
  const bytes = Buffer.from(EVENTS.join(''));
  let text = '';
  const ids: (string | undefined)[] = [];
  let lineCount = 0;
  for (let start = 0; start < bytes.length; start += size) {
    const batch = splitter.readEvents(bytes.subarray(start, start + size));
    const boundaries = EVENTS.map((_, index) => EVENTS.slice(0, index + 1).join(''));
    text += batch.bytes.toString();
    if (batch.bytes.length > 0) expect(boundaries).toContain(text);
    ids.push(...batch.ids);
    lineCount += batch.lineCount;
    expect(batch.isMalformed).toBe(false);
  }
  expect({ text, ids, lineCount }).toEqual({
    ...{ text: EVENTS.join(''), ids: ['1', '2', undefined], lineCount: 10 },
  });
  expect(splitter.hasPartialEvent()).toBe(false);
});

// Guards against an event without end whose bytes are kept.
test('an event that is larger than the limit is noticed before it is complete', () => {
  const splitter = new EventSplitter();
  const part = Buffer.alloc(65_536, 'a');
  let bytes = 0;
  while (!splitter.isEventTooLarge()) {
    splitter.readEvents(part);
    bytes += part.length;
  }
  expect(bytes).toBe(MAX_EVENT_BYTES + part.length);
});

const PARTS = 10_000;
/** Time in which the parts of one event are taken in; it was 12 s when each part was searched and copied with all before. */
const MAX_TIME_MS = 1_000;

// Guards against a cost for each part of an event that grows with the parts before it.
test('the parts of an incomplete event are taken in at a constant cost', () => {
  const splitter = new EventSplitter();
  const part = Buffer.alloc(100, 'a');
  const startedAtMs = performance.now();
  for (let index = 0; index < PARTS; index += 1) splitter.readEvents(part);
  expect(performance.now() - startedAtMs).toBeLessThan(MAX_TIME_MS);
});
