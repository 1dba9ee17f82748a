import { expect, test } from 'vitest';
import { choosePlacement, isLongPrompt, isPauseSensitive } from '../../src';
import type { StreamCandidate, StreamRequest } from '../../src';
import { CHAT, makeCandidate, makeOptions, PLAN } from './placement-fixture';

interface ChoiceCase {
  name: string;
  request: StreamRequest;
  /** The first one is expected to be chosen, in whatever order they are listed. */
  candidates: StreamCandidate[];
}

const choices: ChoiceCase[] = [
  {
    // Guards against chats that miss their pause target beside the prefill of a plan.
    name: 'a plan avoids the server where chats run',
    request: PLAN,
    candidates: [makeCandidate('a'), makeCandidate('b', { streaming: 12, pauseSensitive: 12 })],
  },
  {
    name: 'a plan goes to chats when it would miss its own target elsewhere',
    request: { ...PLAN, firstEventTargetMs: 1_000 },
    candidates: [
      makeCandidate('a', { streaming: 1, pauseSensitive: 1 }),
      makeCandidate('b', { queuedPrefillMs: 4_000, waiting: 20 }),
    ],
  },
  {
    // Guards against charging a chat of 12 ms with the pause that the prompts before it cause.
    name: 'a chat joins chats behind a short queue rather than wait for seconds',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 15, pauseSensitive: 15, queuedPrefillMs: 120, waiting: 3 }),
      makeCandidate('b', { queuedPrefillMs: 2_500, waiting: 20, longShare: 0.9 }),
    ],
  },
  {
    // Guards against chats at servers that read long prompts all the time.
    name: 'a chat avoids the server that reads long prompts',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 8, pauseSensitive: 8 }),
      makeCandidate('b', { longShare: 0.6 }),
    ],
  },
  {
    // Guards against reading 5,400 shared tokens again that another server has cached.
    name: 'a plan goes where its shared parts are cached',
    request: PLAN,
    candidates: [
      makeCandidate('a', { queuedPrefillMs: 150, waiting: 1 }, { cachedTokens: 5_400 }),
      makeCandidate('b'),
    ],
  },
  {
    // Guards against a hot subject that piles up at the one server that has it cached.
    name: 'a plan leaves its cached parts when the wait would make it late',
    request: PLAN,
    candidates: [
      makeCandidate('b'),
      makeCandidate('a', { queuedPrefillMs: 3_500, waiting: 20 }, { cachedTokens: 5_400 }),
    ],
  },
  {
    name: 'an unreachable server is left out',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 40, queuedPrefillMs: 200, waiting: 4 }),
      makeCandidate('b', {}, { isAvoided: true }),
    ],
  },
  {
    name: 'a server that fails its requests is left out',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 30 }),
      makeCandidate('b', {}, { failureRate: 0.4 }),
    ],
  },
  {
    // Guards against chats at a server whose decoding alone uses up the pause target.
    name: 'a chat avoids a slow server',
    request: { ...CHAT, remainingMs: 4_000 },
    candidates: [makeCandidate('a', { streaming: 20 }), makeCandidate('b', {}, { slowness: 8 })],
  },
  {
    // Guards against a server that went dark: what waits there is overdue before any failure is seen.
    name: 'a server whose requests are overdue is avoided',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 30 }),
      makeCandidate('b', { waiting: 1, overdueMs: 900 }),
    ],
  },
  {
    // Guards against prompts that push running streams out of the engine's memory.
    name: 'a plan avoids an engine whose memory is full',
    request: PLAN,
    candidates: [
      makeCandidate('a', { streaming: 20, heldTokens: 240_000 }),
      makeCandidate('b', { streaming: 20, heldTokens: 495_000 }),
    ],
  },
];

test.each(choices)('$name', ({ request, candidates }) => {
  const expected = candidates[0]?.serverId;
  const options = makeOptions({ partition: { updateShortServerCount: () => 0 } as never });
  for (const listed of [candidates, [...candidates].reverse()]) {
    expect(choosePlacement(request, listed, options)?.serverId).toBe(expected);
  }
});

interface FetchCase {
  name: string;
  source: Partial<StreamCandidate>;
  cachedTokens?: number;
  expected: { fetchFromId: string | undefined; fetchedTokens: number };
}

const NO_FETCH = { fetchFromId: undefined, fetchedTokens: 0 };
const fetchCases: FetchCase[] = [
  {
    // Guards against a queue at the server that has a prompt cached while others are idle.
    name: 'cached tokens are fetched from the busy server that has them',
    source: { cachedTokens: 5_400, fetchableTokens: 5_400 },
    expected: { fetchFromId: 'busy', fetchedTokens: 5_400 },
  },
  {
    name: 'only what the chosen server lacks is fetched',
    source: { cachedTokens: 5_400, fetchableTokens: 5_400 },
    cachedTokens: 500,
    expected: { fetchFromId: 'busy', fetchedTokens: 4_900 },
  },
  {
    name: 'a few tokens are read rather than fetched',
    source: { cachedTokens: 200, fetchableTokens: 200 },
    expected: NO_FETCH,
  },
  {
    // Guards against waiting for a server that does not answer.
    name: 'nothing is fetched from an unreachable server',
    source: { cachedTokens: 5_400, fetchableTokens: 5_400, isAvoided: true },
    expected: NO_FETCH,
  },
  {
    name: 'nothing is fetched from a server that fails its requests',
    source: { cachedTokens: 5_400, fetchableTokens: 5_400, failureRate: 0.4 },
    expected: NO_FETCH,
  },
];

test.each(fetchCases)('$name', ({ source, cachedTokens = 0, expected }) => {
  const candidates = [
    makeCandidate('idle', {}, { cachedTokens }),
    makeCandidate('busy', { queuedPrefillMs: 3_500, waiting: 20 }, source),
  ];
  const placement = choosePlacement(PLAN, candidates, makeOptions());
  expect(placement).toMatchObject({ serverId: 'idle', ...expected });
});

test('a fetch is predicted to take less time than reading the prompt', () => {
  const predict = (fetchableTokens: number) =>
    choosePlacement(
      PLAN,
      [makeCandidate('a'), makeCandidate('b', {}, { isAvoided: false, fetchableTokens })],
      makeOptions({ partition: { updateShortServerCount: () => 0 } as never }),
    )?.firstEventMs ?? 0;
  expect(predict(5_400)).toBeLessThan(predict(0) - 50);
});

test('without candidates there is no placement', () => {
  expect(choosePlacement(CHAT, [], makeOptions())).toBeUndefined();
});

test('a server that is busy with prefills is predicted to finish later', () => {
  const idle = choosePlacement(PLAN, [makeCandidate('a')], makeOptions());
  const busy = choosePlacement(PLAN, [makeCandidate('a', { longShare: 0.8 })], makeOptions());
  // The answer of 380 tokens decodes in a fifth of the engine's time.
  expect((busy?.completionMs ?? 0) - (busy?.firstEventMs ?? 0)).toBeGreaterThan(
    4 * ((idle?.completionMs ?? 0) - (idle?.firstEventMs ?? 0)),
  );
});

test('chats and plans keep to different servers while both kinds have room', () => {
  const servers = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map((id) =>
    makeCandidate(id, { shortShare: 0.15, longShare: 0.2 }),
  );
  const options = makeOptions();
  const chosen = (request: StreamRequest, count: number) =>
    new Set(
      Array.from({ length: count }, (_, index) => {
        const parts = request.parts.map((part) => ({ ...part, id: `${part.id}-${index}` }));
        return choosePlacement({ ...request, parts }, servers, options)?.serverId;
      }),
    );
  const chats = chosen(CHAT, 40);
  const plans = chosen(PLAN, 40);
  expect([...chats].filter((id) => plans.has(id))).toEqual([]);
});

test.each([
  { name: 'a chat', promptTokens: 800, expected: false },
  { name: 'a tag', promptTokens: 2_400, expected: false },
  { name: 'a plan', promptTokens: 12_000, expected: true },
])('$name is long: $expected', ({ promptTokens, expected }) => {
  expect(isLongPrompt({ promptTokens }, makeOptions())).toBe(expected);
});

test.each([
  { pauseTargetMs: 200, expected: true },
  { pauseTargetMs: 800, expected: false },
])('a pause target of $pauseTargetMs ms is tight: $expected', ({ pauseTargetMs, expected }) => {
  expect(isPauseSensitive(pauseTargetMs, makeOptions())).toBe(expected);
});
