import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import type { RawHandler } from './raw-backend';
import {
  EVENT_COUNT,
  READ_WAIT_MS,
  ID,
  EVENT_STREAM,
  CHUNKED,
  makeEvents,
  ALL_EVENTS,
  encodeChunk,
  firstCases,
  silentCase,
  createStream,
  resumeAll,
  errorCases,
  otherCases,
  startCase,
  sendPlan,
  checkSoundStream,
  listCombinations,
} from './stream-cases';
import type { FirstCase } from './stream-cases';

// Guards against bytes of a second answer inside a stream, and against a truncated stream that looks complete.
test.each([
  ...listCombinations(errorCases, firstCases.slice(0, 2)),
  ...listCombinations(otherCases),
])(
  '$name: no answer that is not the rest of a stream is joined to it',
  async ({ first, second }) => {
    await using running = await startCase([first, second]);
    checkSoundStream(await sendPlan(running.callerPort));
  },
);

// Guards against a stream that is not resumed although a sound server is left.
test.each([...firstCases, silentCase])(
  '$name: a broken stream resumes at a sound server',
  async ({ handle }) => {
    await using running = await startCase([handle, resumeAll]);
    const response = await sendPlan(running.callerPort);
    checkSoundStream(response);
    expect(response.isComplete).toBe(true);
  },
);

// Guards against bytes of an answer that could not be used, in a stream that a third server completes.
test.each(
  otherCases.filter(
    ({ name }) => !name.startsWith('200 without a request id') && !/^20[46]/.test(name),
  ),
)('a third server resumes a stream after $name', async ({ handle }) => {
  await using running = await startCase([silentCase.handle, handle, resumeAll]);
  const response = await sendPlan(running.callerPort);
  checkSoundStream(response);
  expect(response).toMatchObject({ isComplete: true, body: ALL_EVENTS });
  expect(running.countReceived()).toBe(3);
});

// Guards against an answer that is taken for the rest of a stream while its server is silent or gone.
test.each([
  {
    name: 'no server is left',
    handlers: [firstCases[0]?.handle ?? resumeAll],
    serverCount: 1,
    maxAttempts: 3,
  },
  {
    name: 'no attempt is left',
    handlers: [firstCases[0]?.handle ?? resumeAll, resumeAll],
    serverCount: 3,
    maxAttempts: 1,
  },
  {
    name: 'a head and nothing more until the deadline',
    handlers: [
      firstCases[1]?.handle ?? resumeAll,
      createStream(
        () => '',
        () => undefined,
      ),
    ],
    serverCount: 3,
    maxAttempts: 3,
  },
])(
  '$name: a stream that cannot be resumed is truncated',
  async ({ handlers, serverCount, maxAttempts }) => {
    await using running = await startCase(handlers, maxAttempts, serverCount);
    const response = await sendPlan(running.callerPort, 1_500);
    checkSoundStream(response);
    expect(response.isComplete).toBe(false);
  },
);

// Guards against bytes of a server that was given up, in the stream that another server goes on with.
test('what a silent server sends after the resumption is not forwarded', async () => {
  let silentSocket: Socket | undefined;
  const first: RawHandler = (socket, received) => {
    silentSocket = socket;
    silentCase.handle(socket, received);
  };
  const second: RawHandler = (socket, received) => {
    silentSocket?.write(encodeChunk(`rd-4\n\n${makeEvents(5, EVENT_COUNT)}`));
    resumeAll(socket, received);
  };
  await using running = await startCase([first, second]);
  const response = await sendPlan(running.callerPort);
  expect(response).toMatchObject({ isComplete: true, body: ALL_EVENTS });
});

// Guards against a stream that is cut off although its caller has all events.
test('a stream that breaks after its last event is completed by an empty rest', async () => {
  const first: RawHandler = (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${EVENT_STREAM}${CHUNKED}${ID}test-signature: first\r\n\r\n`);
    socket.write(encodeChunk(ALL_EVENTS));
    void sleep(READ_WAIT_MS).then(() => socket.resetAndDestroy());
  };
  await using running = await startCase([first, resumeAll]);
  const response = await sendPlan(running.callerPort);
  expect(response).toMatchObject({ isComplete: true, body: ALL_EVENTS });
});

const firstEventCases: FirstCase[] = [
  { name: 'reset without a head', handle: (socket) => socket.resetAndDestroy() },
  {
    name: 'reset after the head',
    handle: createStream(
      () => '',
      (socket) => socket.resetAndDestroy(),
    ),
  },
  {
    name: 'reset inside the first event',
    handle: createStream(
      () => 'id: 1\nda',
      (socket) => void sleep(READ_WAIT_MS).then(() => socket.resetAndDestroy()),
    ),
  },
];

// Guards against an error before the first event that callers get as a success or with another status.
test.each(
  errorCases.flatMap((second) =>
    firstEventCases.map((first) => ({
      name: `${first.name}, then ${second.name}`,
      first: first.handle,
      second: second.handle,
      givenStatus: Number(second.name.slice(0, 3)),
    })),
  ),
)(
  '$name: an error before the first event is forwarded as it is or as 502',
  async ({ first, second, givenStatus }) => {
    await using running = await startCase([first, second]);
    const { status, headers, isComplete } = await sendPlan(running.callerPort);
    const isSigned = headers['test-signature'] !== undefined;
    expect({ status, isComplete }).toEqual({
      status: isSigned ? givenStatus : 502,
      isComplete: true,
    });
  },
);
