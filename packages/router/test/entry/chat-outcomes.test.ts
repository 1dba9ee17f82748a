import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import { FakeEngine } from '../backend/fake-engine';
import type { EngineBehaviour } from '../backend/fake-engine';
import { chatBody, createHarness, createServer, parseStream, sendChat, waitUntil } from './fakes';
import type { Harness } from './fakes';

let first: FakeEngine;
let second: FakeEngine;
let harness: Harness;

beforeEach(async () => {
  first = new FakeEngine();
  second = new FakeEngine();
  const servers = [
    createServer('engine-1', await first.start()),
    createServer('engine-2', await second.start()),
  ];
  harness = await createHarness(servers);
});

afterEach(async () => {
  await harness[Symbol.asyncDispose]();
  await first[Symbol.asyncDispose]();
  await second[Symbol.asyncDispose]();
});

const streamedBody = { ...chatBody, stream: true };

describe('complete responses', () => {
  interface StreamCase {
    name: string;
    first: EngineBehaviour;
    second?: EngineBehaviour;
    content: string;
    finishes: string[];
  }
  const cases: StreamCase[] = [
    { name: 'plain', first: {}, content: 'abcd', finishes: ['completed'] },
    {
      name: 'duplicated offset',
      first: { duplicateIndex: 1 },
      content: 'abcd',
      finishes: ['completed'],
    },
    { name: 'missing offset', first: { skipIndex: 1 }, content: 'abcd', finishes: ['completed'] },
    { name: 'silent stream', first: { silentAfter: 2 }, content: 'abcd', finishes: ['completed'] },
    { name: 'reset stream', first: { resetAfter: 2 }, content: 'abcd', finishes: ['completed'] },
    {
      name: 'refused as not run',
      first: { refuse: true },
      content: 'abcd',
      finishes: ['server-refused', 'completed'],
    },
    {
      name: 'request lost on a silent connection',
      first: { dropRequest: true },
      content: 'abcd',
      finishes: ['server-silent', 'completed'],
    },
    {
      name: 'crash before the first token',
      first: { crashAfter: 0 },
      content: 'abcd',
      finishes: ['server-crashed', 'completed'],
    },
    {
      name: 'crash in the stream',
      first: { crashAfter: 2 },
      second: { words: ['c', 'd'] },
      content: 'abcd',
      finishes: ['server-crashed', 'completed'],
    },
  ];
  // Guards against responses with missing or duplicate tokens or with changing chunk ids.
  test.each(cases)('$name: the caller gets the complete response', async (row) => {
    first.behaviour = row.first;
    second.behaviour = row.second ?? {};
    const stream = parseStream(await (await sendChat(harness.url, streamedBody)).text());
    expect(stream).toMatchObject({ content: row.content, isDone: true });
    expect(stream.ids.size).toBe(1);
    await waitUntil(() => harness.outcomes.records.length > 0);
    expect(harness.outcomes.records).toHaveLength(1);
    expect(harness.outcomes.records[0]).toMatchObject({ outcome: 'answered', status: 200 });
    expect(harness.peers.listFinishResults()).toEqual(row.finishes);
  });

  // Guards against losing the text so far, or the caller's token limit, when a retry continues a response after
  // a crash.
  test('a retry after a crash sends the text so far', async () => {
    first.behaviour = { crashAfter: 2 };
    second.behaviour = { words: ['c', 'd'] };
    const response = await sendChat(harness.url, { ...chatBody, max_tokens: 10 });
    const completion = (await response.json()) as { choices: { message: { content: string } }[] };
    expect(completion.choices[0]?.message.content).toBe('abcd');
    expect(second.requests[0]?.body).toMatchObject({
      continue_final_message: true,
      max_tokens: 8,
      messages: [...chatBody.messages, { role: 'assistant', content: 'ab' }],
    });
    const enqueues = harness.peers.listSent('enqueue').map(({ message }) => message);
    expect(enqueues[1]).toMatchObject({ excludedServerIds: ['engine-1'], isRetry: true });
  });

  // Guards against running a request again while its stream can still be resumed.
  test('a silent stream is resumed by offset, not run again', async () => {
    first.behaviour = { silentAfter: 2 };
    await (await sendChat(harness.url, streamedBody)).text();
    expect(first.requests).toHaveLength(1);
    expect(first.resumed).toEqual([`${first.requests[0]?.attemptId ?? ''}:2`]);
  });
});

describe('failures', () => {
  interface FailureCase {
    name: string;
    first: EngineBehaviour;
    second: EngineBehaviour;
    allowRetry: boolean;
    status: number;
    code: string;
    outcome: string;
    notRun: boolean;
    attempts: number;
  }
  const refused = { refuse: true };
  const cases: FailureCase[] = [
    {
      name: 'both refuse',
      first: refused,
      second: refused,
      allowRetry: true,
      status: 503,
      code: 'server_refused',
      outcome: 'not-run',
      notRun: true,
      attempts: 2,
    },
    {
      name: 'no budget after a refusal',
      first: refused,
      second: {},
      allowRetry: false,
      status: 503,
      code: 'retry_budget_exhausted',
      outcome: 'not-run',
      notRun: true,
      attempts: 1,
    },
    {
      name: 'no budget after a crash',
      first: { crashAfter: 0 },
      second: {},
      allowRetry: false,
      status: 502,
      code: 'retry_budget_exhausted',
      outcome: 'failed',
      notRun: false,
      attempts: 1,
    },
    {
      name: 'crash, then a refusal',
      first: { crashAfter: 0 },
      second: refused,
      allowRetry: true,
      status: 502,
      code: 'server_crashed',
      outcome: 'failed',
      notRun: false,
      attempts: 2,
    },
    {
      name: 'both return 500',
      first: { status: 500 },
      second: { status: 500 },
      allowRetry: true,
      status: 502,
      code: 'backend_error',
      outcome: 'failed',
      notRun: false,
      attempts: 2,
    },
  ];
  // Guards against reporting a request that ran as not run, and against more than one retry.
  test.each(cases)('$name: the caller gets status $status', async (row) => {
    first.behaviour = row.first;
    second.behaviour = row.second;
    harness.retries.allow = row.allowRetry;
    const response = await sendChat(harness.url, streamedBody, { 'x-request-id': 'r-1' });
    expect(response.status).toBe(row.status);
    expect(await response.json()).toMatchObject({
      error: { code: row.code, request_id: 'r-1', not_run: row.notRun },
    });
    expect(first.requests.length + second.requests.length).toBe(row.attempts);
    expect(harness.outcomes.records.map(({ outcome }) => outcome)).toEqual([row.outcome]);
  });

  // Guards against a truncated response that looks complete.
  test('a failure in the stream ends with an error event', async () => {
    first.behaviour = { crashAfter: 2 };
    harness.retries.allow = false;
    const text = await (await sendChat(harness.url, streamedBody)).text();
    expect(text).not.toContain('[DONE]');
    expect(text).toContain('"code":"retry_budget_exhausted"');
    expect(harness.outcomes.records[0]).toMatchObject({ outcome: 'failed', wastedTokens: 2 });
  });

  // Guards against requests that run longer than the total time of their service class.
  test('a request over its total time fails with 504', async () => {
    first.behaviour = { hang: true };
    const response = await sendChat(harness.url, streamedBody, { 'x-service-class': 'short' });
    expect(response.status).toBe(504);
    expect(harness.outcomes.records[0]).toMatchObject({
      outcome: 'failed',
      cause: { kind: 'server-slow', serverId: 'engine-1' },
    });
    expect(first.cancelled).toHaveLength(1);
  });

  // Guards against generating tokens for a caller that has disconnected.
  test('a disconnect cancels the request at the engine and finishes the grant', async () => {
    first.behaviour = { words: Array<string>(1_000).fill('x'), gapMs: 5 };
    const controller = new AbortController();
    const response = await sendChat(harness.url, streamedBody, {}, controller.signal);
    await response.body?.getReader().read();
    controller.abort();
    await waitUntil(() => first.cancelled.length > 0 && harness.outcomes.records.length > 0);
    expect(first.cancelled).toEqual([first.requests[0]?.attemptId]);
    expect(harness.outcomes.records[0]).toMatchObject({
      outcome: 'cancelled',
      status: 200,
      cause: { kind: 'caller-disconnected' },
    });
    expect(harness.peers.listFinishResults()).toEqual(['cancelled']);
  });
});
