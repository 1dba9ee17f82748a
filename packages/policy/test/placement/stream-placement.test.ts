import { expect, test } from 'vitest';
import { choosePlacement, isLongPrompt, isPauseSensitive } from '../../src';
import type { StreamCandidate, StreamRequest } from '../../src';
import { CHAT, makeCandidate, makeOptions, PLAN } from './placement-fixture';

interface ChoiceCase {
  name: string;
  request: StreamRequest;
  /** The first candidate is expected to be chosen, regardless of the order of the list. */
  candidates: StreamCandidate[];
}

const choices: ChoiceCase[] = [
  {
    // Guards against chats that miss their pause target because of a plan's prefill on the same server.
    name: 'a plan avoids the server where chats run',
    request: PLAN,
    candidates: [makeCandidate('a'), makeCandidate('b', { streaming: 12, pauseSensitive: 12 })],
  },
  {
    name: 'a plan goes to a server with chats when it would miss its target elsewhere',
    request: { ...PLAN, firstEventTargetMs: 1_000 },
    candidates: [
      makeCandidate('a', { streaming: 1, pauseSensitive: 1 }),
      makeCandidate('b', { queuedPrefillMs: 4_000, waiting: 20 }),
    ],
  },
  {
    // Guards against attributing the pause caused by queued prompts to a chat with a prefill of 12 ms.
    name: 'a chat goes to a server with chats and a short queue rather than wait for seconds',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 15, pauseSensitive: 15, queuedPrefillMs: 120, waiting: 3 }),
      makeCandidate('b', { queuedPrefillMs: 2_500, waiting: 20, longShare: 0.9 }),
    ],
  },
  {
    // Guards against placing chats on servers that are busy with long prefills.
    name: 'a chat avoids the server that prefills long prompts',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 8, pauseSensitive: 8 }),
      makeCandidate('b', { longShare: 0.6 }),
    ],
  },
  {
    // Guards against a prefill of 5,400 shared tokens that another server has cached.
    name: 'a plan goes where its shared parts are cached',
    request: PLAN,
    candidates: [
      makeCandidate('a', { queuedPrefillMs: 150, waiting: 1 }, { cachedTokens: 5_400 }),
      makeCandidate('b'),
    ],
  },
  {
    // Guards against overloading the only server that has a frequently used shared part cached.
    name: 'a plan avoids the server with its cached parts when it would miss its target waiting there',
    request: PLAN,
    candidates: [
      makeCandidate('b'),
      makeCandidate('a', { queuedPrefillMs: 3_500, waiting: 20 }, { cachedTokens: 5_400 }),
    ],
  },
  {
    name: 'an unreachable server is avoided',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 40, queuedPrefillMs: 200, waiting: 4 }),
      makeCandidate('b', {}, { isAvoided: true }),
    ],
  },
  {
    name: 'a server that fails its requests is avoided',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 30 }),
      makeCandidate('b', {}, { failureRate: 0.4 }),
    ],
  },
  {
    // Guards against placing chats on a server that decodes so slowly that the response would not be complete in the
    // remaining time.
    name: 'a chat avoids a slow server',
    request: { ...CHAT, remainingMs: 4_000 },
    candidates: [makeCandidate('a', { streaming: 20 }), makeCandidate('b', {}, { slowness: 8 })],
  },
  {
    // Guards against placing streams on a server that stopped responding: its requests are overdue before they fail.
    name: 'a server whose requests are overdue is avoided',
    request: CHAT,
    candidates: [
      makeCandidate('a', { streaming: 30 }),
      makeCandidate('b', { waiting: 1, overdueMs: 900 }),
    ],
  },
  {
    // Guards against prompts that make the engine preempt running streams for lack of KV cache.
    name: 'a plan avoids an engine whose KV cache is full',
    request: PLAN,
    candidates: [
      makeCandidate('a', { streaming: 20, heldTokens: 240_000 }),
      makeCandidate('b', { streaming: 20, heldTokens: 495_000 }),
    ],
  },
];

test.each(choices)('$name', ({ request, candidates }) => {
  const expected = candidates[0]?.serverId;
  // All servers belong to the partition for long prompts, so the partition does not affect the choice.
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
    // Guards against a queue on the server that has a prompt cached while other servers are idle.
    name: 'cached tokens are fetched from the busy server that has them',
    source: { cachedTokens: 5_400, fetchableTokens: 5_400 },
    expected: { fetchFromId: 'busy', fetchedTokens: 5_400 },
  },
  {
    name: 'only tokens that the chosen server has not cached are fetched',
    source: { cachedTokens: 5_400, fetchableTokens: 5_400 },
    cachedTokens: 500,
    expected: { fetchFromId: 'busy', fetchedTokens: 4_900 },
  },
  {
    name: 'a small number of tokens is prefilled rather than fetched',
    source: { cachedTokens: 200, fetchableTokens: 200 },
    expected: NO_FETCH,
  },
  {
    // Guards against waiting for a server that does not respond.
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

test('a fetch is predicted to take less time than a prefill', () => {
  const predict = (fetchableTokens: number) =>
    choosePlacement(
      PLAN,
      [makeCandidate('a'), makeCandidate('b', {}, { isAvoided: false, fetchableTokens })],
      // All servers belong to the partition for long prompts, so the partition does not affect the choice.
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
  // Decoding the response of 380 tokens gets a fifth of the engine's time.
  expect((busy?.completionMs ?? 0) - (busy?.firstEventMs ?? 0)).toBeGreaterThan(
    4 * ((idle?.completionMs ?? 0) - (idle?.firstEventMs ?? 0)),
  );
});

test('chats and plans are placed on different servers while both kinds have capacity', () => {
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
])(
  'the prompt of $name, $promptTokens tokens, is long: $expected',
  ({ promptTokens, expected }) => {
    expect(isLongPrompt({ promptTokens }, makeOptions())).toBe(expected);
  },
);

test.each([
  { pauseTargetMs: 200, expected: true },
  { pauseTargetMs: 800, expected: false },
])(
  'a stream with a pause target of $pauseTargetMs ms is pause-sensitive: $expected',
  ({ pauseTargetMs, expected }) => {
    expect(isPauseSensitive(pauseTargetMs, makeOptions())).toBe(expected);
  },
);
