import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import { createEngine, generateAnswerTokens } from '../src/index';
import type { EngineStandIn } from '../src/index';
import { buildMessages, readEvents, sendCall, sendChat } from './support';

let engine: EngineStandIn;
beforeEach(async () => {
  engine = await createEngine({ tokensPerSecond: 200 });
});
afterEach(async () => {
  await engine[Symbol.asyncDispose]();
});

describe('an engine that refuses', () => {
  // Guards against refused work that ran, or running work that a drain cuts off.
  test.each([
    [{ draining: true }, 'true'],
    [{ refuse: true }, null],
  ])('under %j finishes what runs', async (faults, draining) => {
    const running = await sendChat(engine, { maxTokens: 40 });
    await sendCall(engine, 'POST', '/admin/faults', faults);
    const { status, headers } = await sendChat(engine);
    const seen = [status, headers.get('x-not-run'), headers.get('x-draining')];
    expect(seen).toEqual([503, 'true', draining]);
    expect((await readEvents(running)).isDone).toBe(true);
    expect(engine.getCounts().started).toBe(1);
    const load: unknown = await (await sendCall(engine, 'GET', '/load')).json();
    expect(load).toMatchObject({ draining: draining === 'true' });
  });

  // Guards against an unbounded queue in the engine.
  test('when its queue is full says that it did not run the request', async () => {
    await using small = await createEngine({ slots: 1, maxWaiting: 1, tokensPerSecond: 10 });
    await sendChat(small);
    await sendChat(small);
    const response = await sendChat(small);
    expect([response.status, response.headers.get('x-not-run')]).toEqual([503, 'true']);
  });
});

describe('a crash', () => {
  // Guards against a crash that ends streams as if they were whole, or that keeps the listener.
  test('breaks streams and stops the listener', async () => {
    const stream = await sendChat(engine, { maxTokens: 2000 });
    const reading = readEvents(stream);
    await sleep(50);
    engine.applyFaults({ crash: true });
    const answer = await reading;
    expect([answer.isDone, answer.finishReason]).toEqual([false, undefined]);
    await expect(sendChat(engine)).rejects.toThrow();
  });

  // Guards against a poison prompt that crashes before it runs, or at the wrong token.
  test.each([0, 4])('by a marked prompt comes after %i tokens', async (crashAfterTokens) => {
    engine.applyFaults({ crashMarker: 'POISON', crashAfterTokens });
    expect((await readEvents(await sendChat(engine, { question: 'clean' }))).isDone).toBe(true);
    const options = { question: 'a POISON prompt', maxTokens: 40 };
    const answer = await readEvents(await sendChat(engine, options));
    const tokens = generateAnswerTokens(buildMessages(options), 40);
    expect(tokens.slice(0, crashAfterTokens).join('').startsWith(answer.text)).toBe(true);
    expect(answer.isDone).toBe(false);
    await expect(sendChat(engine)).rejects.toThrow();
  });
});

// Guards against a silent connection that still delivers, and against a stream that a fresh one
// cannot resume.
test('a stream on a silent connection is resumed on a fresh one', async () => {
  const options = { attemptId: 'a1', maxTokens: 60 };
  const silent = readEvents(await sendChat(engine, options));
  await sleep(50);
  await sendCall(engine, 'POST', '/admin/faults', { silent: true });
  await sleep(50);
  const status = await sendCall(engine, 'GET', '/v1/streams/a1/status');
  const { offset } = (await status.json()) as { offset: number };
  const headers = { 'Last-Event-ID': 'a1:2' };
  const rest = await readEvents(
    await sendCall(engine, 'GET', '/v1/streams/a1', undefined, headers),
  );
  const tokens = generateAnswerTokens(buildMessages(options), 60);
  expect(rest.text).toBe(tokens.slice(2).join(''));
  await engine[Symbol.asyncDispose]();
  const received = await silent;
  expect(received.isDone).toBe(false);
  expect(received.ids.length).toBeLessThanOrEqual(offset);
});
