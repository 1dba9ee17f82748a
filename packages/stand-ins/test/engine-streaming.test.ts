import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import { createEngine, generateAnswerTokens } from '../src/index';
import { countPartialTokens } from '../src/engine/answers';
import type { EngineStandIn } from '../src/index';
import { buildMessages, readEvents, sendCall, sendChat, waitUntil } from './support';
import type { ChatOptions } from './support';

const RESUME_WINDOW_MS = 150;

let engine: EngineStandIn;
beforeEach(async () => {
  engine = await createEngine({ tokensPerSecond: 400, resumeWindowMs: RESUME_WINDOW_MS });
});
afterEach(async () => {
  await engine[Symbol.asyncDispose]();
});

function generateText(options: ChatOptions): string {
  return generateAnswerTokens(buildMessages(options), options.maxTokens ?? 20).join('');
}

describe('a streamed answer', () => {
  // Guards against lost, repeated or reordered tokens and against a missing end of the stream.
  test.each([1, 2, 20, 60])('of at most %i tokens is whole and in order', async (maxTokens) => {
    const options = { attemptId: 'a.1', maxTokens };
    const tokens = generateAnswerTokens(buildMessages(options), maxTokens);
    const answer = await readEvents(await sendChat(engine, options));
    expect(answer.text).toBe(tokens.join(''));
    expect(answer.ids).toEqual([...tokens, ''].map((_, index) => `a.1:${(index + 1).toString()}`));
    expect(answer.finishReason).toBe(tokens.length === maxTokens ? 'length' : 'stop');
    expect(answer.isDone).toBe(true);
  });

  // Guards against an answer that depends on anything but the question and the limit.
  test('is the same as the whole answer', async () => {
    const response = await sendChat(engine, { stream: false, question: 'Which mule?' });
    const body = (await response.json()) as { choices: { message: { content: string } }[] };
    expect(body.choices[0]?.message.content).toBe(generateText({ question: 'Which mule?' }));
  });

  // Guards against a second run under an attempt id that is in use.
  test('is refused under a used attempt id', async () => {
    await readEvents(await sendChat(engine, { attemptId: 'a1' }));
    const response = await sendChat(engine, { attemptId: 'a1' });
    expect([response.status, response.headers.get('x-not-run')]).toEqual([409, 'true']);
  });
});

describe('a continuation', () => {
  const whole = generateText({ maxTokens: 12 });

  // Guards against repeated or lost characters where a second engine goes on.
  test.each([0, 1, 7, 16, 17, 20, whole.length - 1, whole.length])(
    'after %i characters gives the rest',
    async (length) => {
      const partial = whole.slice(0, length);
      // max_tokens counts the tokens still to generate.
      const maxTokens = 12 - countPartialTokens(buildMessages({}), partial);
      const answer = await readEvents(await sendChat(engine, { maxTokens, partial }));
      expect(partial + answer.text).toBe(whole);
      expect(answer.isDone).toBe(true);
    },
  );

  // Guards against mixing the answers of two requests.
  test('of a different answer is refused', async () => {
    const response = await sendChat(engine, { partial: 'not this' });
    expect([response.status, response.headers.get('x-not-run')]).toEqual([400, 'true']);
  });
});

describe('a stream whose connection closed', () => {
  // Guards against tokens lost or sent twice at the seam of a resume.
  test.each([1, 5, 14])('resumes after event %i', async (events) => {
    const options = { attemptId: 'a1', maxTokens: 40 };
    const first = await readEvents(await sendChat(engine, options), events);
    const headers = { 'Last-Event-ID': `a1:${events.toString()}` };
    const response = await sendCall(engine, 'GET', '/v1/streams/a1', undefined, headers);
    const rest = await readEvents(response);
    expect(first.text + rest.text).toBe(generateText(options));
    expect(rest.ids[0]).toBe(`a1:${(events + 1).toString()}`);
    expect(engine.getCounts()).toMatchObject({ started: 1, completed: 1, cancelled: 0 });
  });

  // Guards against an ended stream that cannot be read again after its connection broke at the end.
  test('resumes after it completed', async () => {
    const answer = await readEvents(await sendChat(engine, { attemptId: 'a1' }));
    const status = await sendCall(engine, 'GET', '/v1/streams/a1/status');
    expect(await status.json()).toEqual({ offset: answer.ids.length - 1, done: true });
    const headers = { 'Last-Event-ID': answer.ids.at(-1) ?? '' };
    const end = await readEvents(
      await sendCall(engine, 'GET', '/v1/streams/a1', undefined, headers),
    );
    expect([end.ids, end.isDone]).toEqual([[], true]);
  });

  // Guards against two connections that share a stream, and a cancel by the one that was replaced.
  test('is not needed for a resume, which ends the old connection', async () => {
    const options = { attemptId: 'a1', maxTokens: 120 };
    const old = readEvents(await sendChat(engine, options));
    const resumed = await readEvents(await sendCall(engine, 'GET', '/v1/streams/a1'));
    expect([resumed.text, resumed.isDone]).toEqual([generateText(options), true]);
    expect((await old).isDone).toBe(false);
    expect(engine.getCounts()).toMatchObject({ completed: 1, cancelled: 0 });
  });

  // Guards against work that goes on for a caller that has gone.
  test('is cancelled when nobody resumes it', async () => {
    await readEvents(await sendChat(engine, { attemptId: 'a1', maxTokens: 2000 }), 3);
    await sleep(RESUME_WINDOW_MS / 2);
    expect(engine.getCounts().cancelled).toBe(0);
    await waitUntil(() => engine.getCounts().cancelled === 1);
    const counts = engine.getCounts();
    expect(counts.cancelledTokens).toBeGreaterThanOrEqual(3);
    expect(counts.cancelledTokens).toBe(counts.generatedTokens);
    for (const path of ['/v1/streams/a1', '/v1/streams/a1/status']) {
      expect((await sendCall(engine, 'GET', path)).status).toBe(410);
    }
  });
});

describe('a cancel', () => {
  // Guards against a slot that stays taken by a cancelled stream, running or waiting.
  test.each([0, 8])('with %i other requests frees the slot', async (others) => {
    const load = Array.from({ length: others }, (_, index) =>
      sendChat(engine, { attemptId: `load-${index.toString()}`, maxTokens: 2000 }),
    );
    await Promise.all(load);
    const reading = readEvents(await sendChat(engine, { attemptId: 'a1', maxTokens: 2000 }));
    expect((await sendCall(engine, 'DELETE', '/v1/streams/a1')).status).toBe(204);
    expect((await reading).isDone).toBe(false);
    const report: unknown = await (await sendCall(engine, 'GET', '/load')).json();
    expect(report).toMatchObject({ running: others, waiting: 0 });
  });

  // Guards against a probe of a lost stream that looks like a live one.
  test.each([
    ['DELETE', '/v1/streams/none'],
    ['GET', '/v1/streams/none'],
    ['GET', '/v1/streams/none/status'],
  ])('%s %s is answered with 404', async (method, path) => {
    expect((await sendCall(engine, method, path)).status).toBe(404);
  });
});
