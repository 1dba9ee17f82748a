import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, expect, test } from 'vitest';
import { CHARACTERS_PER_TOKEN } from '../src/engine/prefix-cache';
import { createEngine, generateAnswerTokens } from '../src/index';
import type { AttemptLogEntry, EngineStandIn, LoadReport } from '../src/index';
import { buildMessages, readEvents, sendCall, sendChat, waitUntil } from './support';

let engine: EngineStandIn;
afterEach(async () => {
  await engine[Symbol.asyncDispose]();
});

async function readLoad(): Promise<LoadReport> {
  return (await (await sendCall(engine, 'GET', '/load')).json()) as LoadReport;
}

function isRunning({ startedAtMs, endedAtMs }: AttemptLogEntry): boolean {
  return startedAtMs !== undefined && endedAtMs === undefined;
}

// Guards against a queue that ignores priority or the order of arrival within one priority.
test('waiting requests start by priority, then by arrival', async () => {
  engine = await createEngine({ slots: 1, tokensPerSecond: 400 });
  engine.applyFaults({ slowFactor: 10_000 });
  const answers: Promise<unknown>[] = [];
  for (const [attemptId, priority] of Object.entries({ x: 0, c: 2, a: 0, d: 2, b: 1, a2: 0 })) {
    answers.push(sendChat(engine, { attemptId, priority }).then((answer) => readEvents(answer)));
    await waitUntil(() => engine.listAttempts().length === answers.length);
  }
  expect(await readLoad()).toMatchObject({ running: 1, waiting: 5, slots: 1 });
  engine.applyFaults({ slowFactor: 1 });
  await Promise.all(answers);
  const started = engine.listAttempts().sort((a, b) => (a.startedAtMs ?? 0) - (b.startedAtMs ?? 0));
  const order = started.map((attempt) => attempt.attemptId);
  expect(order).toEqual(['x', 'a', 'a2', 'b', 'c', 'd']);
});

// Guards against an engine whose speed does not depend on its batch, its prompt or its slow factor.
test.each([
  { name: 'one request', parallel: 1, repeats: 1, slowFactor: 1, perTokenMs: 5 },
  { name: 'a batch of 8', parallel: 8, repeats: 1, slowFactor: 1, perTokenMs: 5 * 4.5 },
  { name: 'a long prompt', parallel: 1, repeats: 200, slowFactor: 1, perTokenMs: 5 },
  { name: 'a slow factor', parallel: 1, repeats: 1, slowFactor: 4, perTokenMs: 20 },
])('$name takes the time of the model', async ({ parallel, repeats, slowFactor, perTokenMs }) => {
  const model = { tokensPerSecond: 200, batchSlowdown: 0.5, prefillTokensPerSecond: 1000 };
  engine = await createEngine(model);
  // Held until all run, so that a busy machine does not shrink the batch.
  engine.applyFaults({ slowFactor: 10_000 });
  const options = { question: `${'rope '.repeat(repeats)}Which ridge?`, maxTokens: 30 };
  const sent = Array.from({ length: parallel }, () => sendChat(engine, options));
  await waitUntil(() => engine.listAttempts().filter(isRunning).length === parallel);
  engine.applyFaults({ slowFactor });
  const releasedAtMs = Date.now();
  const answers = await Promise.all(sent);
  await Promise.all(answers.map((answer) => readEvents(answer)));
  const decodeMs = generateAnswerTokens(buildMessages(options), 30).length * perTokenMs;
  const prefillMs = (options.question.length / CHARACTERS_PER_TOKEN) * slowFactor;
  for (const { endedAtMs = 0 } of engine.listAttempts()) {
    expect((endedAtMs - releasedAtMs) / (prefillMs + decodeMs)).toBeGreaterThan(0.8);
  }
});

// Guards against work that a busy machine credits to an engine for the time before it was sped up.
test('the time before a change of the slow factor counts at the old factor', async () => {
  engine = await createEngine({ tokensPerSecond: 200, prefillTokensPerSecond: 100_000 });
  engine.applyFaults({ slowFactor: 10_000 });
  const answer = sendChat(engine, { maxTokens: 30 });
  await waitUntil(() => engine.listAttempts().some(isRunning));
  const blockedUntilMs = Date.now() + 90;
  while (Date.now() < blockedUntilMs);
  engine.applyFaults({ slowFactor: 1 });
  const releasedAtMs = Date.now();
  await readEvents(await answer);
  const [attempt] = engine.listAttempts();
  const decodeMs = (attempt?.generatedTokens ?? 0) * 5;
  expect(decodeMs).toBeGreaterThan(0);
  expect(((attempt?.endedAtMs ?? 0) - releasedAtMs) / decodeMs).toBeGreaterThan(0.8);
});

// Guards against a prefix cache that has no effect, or no limit.
test.each([
  [100_000, [0, 1]],
  [500, [0, 0]],
])('a cache of %i tokens reports cached prompts', async (prefixCacheTokens, expected) => {
  engine = await createEngine({ prefixCacheTokens, tokensPerSecond: 1000 });
  const prompts = ['fodder '.repeat(600), 'barley '.repeat(600), 'fodder '.repeat(600)];
  for (const question of prompts) await readEvents(await sendChat(engine, { question }));
  const [first, , again] = engine.listAttempts();
  const shares = [first, again].map((attempt) =>
    Math.round((attempt?.cachedTokens ?? 0) / (attempt?.promptTokens ?? 1)),
  );
  expect(shares).toEqual(expected);
});

// Guards against a load report that is newer than its lag says.
test('a lagging load report describes the past', async () => {
  engine = await createEngine({ loadLagMs: 150, tokensPerSecond: 20 });
  await sleep(160);
  await sendChat(engine, { attemptId: 'a1', maxTokens: 2000 });
  const early = await readLoad();
  expect(early.running).toBe(0);
  expect(Date.now() - early.asOf).toBeGreaterThanOrEqual(150);
  await sleep(200);
  expect((await readLoad()).running).toBe(1);
});
