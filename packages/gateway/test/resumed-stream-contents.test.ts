import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import type { RawHandler } from './raw-backend';
import {
  EVENT_COUNT,
  SENT_BEFORE_BREAK,
  READ_WAIT_MS,
  ERROR_TEXT,
  ID,
  SIGNED,
  EVENT_STREAM,
  CHUNKED,
  makeEvents,
  ALL_EVENTS,
  encodeChunk,
  createAnswer,
  createStream,
  createUnframedStream,
  resumeAll,
  TEXT,
  RAW_ERROR,
  startCase,
  sendPlan,
  checkSoundStream,
  listCombinations,
} from './stream-cases';

// Guards against a signed 200 that is no event stream, whose text contains empty lines, in the middle of a stream.
test.each(
  listCombinations([
    { name: 'text', handle: createAnswer('200 OK', TEXT + SIGNED, ERROR_TEXT) },
    {
      name: 'text like an event',
      handle: createAnswer('200 OK', TEXT + SIGNED, makeEvents(4, EVENT_COUNT)),
    },
    {
      name: 'JSON',
      handle: createAnswer(
        '200 OK',
        `content-type: application/json\r\n${SIGNED}`,
        '{"error":\n\n"failed"}\n\n',
      ),
    },
    { name: 'text without a length', handle: createUnframedStream(() => ERROR_TEXT, TEXT) },
  ]),
)('$name: a 200 of another content type is not joined to a stream', async ({ first, second }) => {
  await using running = await startCase([first, second]);
  const response = await sendPlan(running.callerPort);
  checkSoundStream(response);
  expect(response.body).toBe(makeEvents(1, SENT_BEFORE_BREAK));
  expect(response.isComplete).toBe(false);
});

// Guards against a signed answer of another content type that is not forwarded whole.
test('a 200 of another content type before the first event is forwarded whole', async () => {
  await using running = await startCase([
    createAnswer('200 OK', TEXT + SIGNED, `${ERROR_TEXT}end`),
  ]);
  const response = await sendPlan(running.callerPort);
  expect(response).toMatchObject({ status: 200, isComplete: true, body: `${ERROR_TEXT}end` });
  expect(response.headers['test-signature']).toBe('second');
});

// Guards against the head and the text of an error, written into the body of an event stream, that callers get as events.
test.each(
  listCombinations([
    {
      name: 'an error head after some events',
      handle: createUnframedStream((last) => makeEvents(last + 1, last + 1) + RAW_ERROR),
    },
    { name: 'an error head', handle: createUnframedStream(() => RAW_ERROR) },
    { name: 'an error head in a chunk', handle: createStream(() => RAW_ERROR) },
    { name: 'text', handle: createUnframedStream(() => ERROR_TEXT) },
    {
      name: 'JSON after some events',
      handle: createStream((last) => `${makeEvents(last + 1, last + 1)}{"error":"failed"}\n\n`),
    },
  ]),
)('$name: text in an event stream is not forwarded', async ({ first, second }) => {
  await using running = await startCase([first, second, resumeAll]);
  const response = await sendPlan(running.callerPort);
  checkSoundStream(response);
  expect(response.isComplete).toBe(true);
});

// Guards against a stream that is joined from two runs, or whose caller misses a piece.
test.each(
  listCombinations([
    { name: 'all events again', handle: createStream(() => ALL_EVENTS) },
    {
      name: 'the last event again',
      handle: createStream((last) => makeEvents(last, EVENT_COUNT)),
    },
    {
      name: 'a missing event',
      handle: createStream((last) => makeEvents(last + 2, EVENT_COUNT)),
    },
    {
      name: 'an event without an id',
      handle: createStream((last) => `data: word\n\n${makeEvents(last + 1, EVENT_COUNT)}`),
    },
  ]),
)('$name: a resumed stream goes on after the last event', async ({ first, second }) => {
  await using running = await startCase([first, second, resumeAll]);
  const response = await sendPlan(running.callerPort);
  checkSoundStream(response);
  expect(response.isComplete).toBe(true);
});

// Guards against a stream that starts again from its first event after some events were sent.
test('a stream whose events have no ids is truncated when it breaks', async () => {
  const events = 'data: one\n\ndata: two\n\n';
  const first: RawHandler = (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${EVENT_STREAM}${CHUNKED}${ID}test-signature: first\r\n\r\n`);
    socket.write(encodeChunk(events));
    void sleep(READ_WAIT_MS).then(() => socket.resetAndDestroy());
  };
  await using running = await startCase([first, createStream(() => `${events}data: three\n\n`)]);
  const response = await sendPlan(running.callerPort);
  expect(response).toMatchObject({ status: 200, isComplete: false, body: events });
});
