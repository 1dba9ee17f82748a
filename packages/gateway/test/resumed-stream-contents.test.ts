import { expect, test } from 'vitest';
import {
  EVENT_COUNT,
  SENT_BEFORE_BREAK,
  ERROR_TEXT,
  SIGNED,
  makeEvents,
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
