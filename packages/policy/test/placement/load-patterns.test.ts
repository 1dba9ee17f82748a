import { mersenne, unsafeUniformIntDistribution } from 'pure-rand';
import type { RandomGenerator } from 'pure-rand';
import { expect, test } from 'vitest';
import {
  chooseAdmission,
  choosePlacement,
  DEFAULT_ENGINE_PROFILE,
  PromptLengthPartition,
  isLongPrompt,
  isPauseSensitive,
  LoadTable,
  PrefixCacheTracker,
  SpeedTracker,
} from '../../src';
import type { PlacedRequest, PlacementOptions, StreamRequest } from '../../src';
import { SimulatedEngine } from './simulated-engine';
import type { SimulatedStream } from './simulated-engine';

type Kind = 'chat' | 'tag' | 'plan';

interface KindShape {
  perSecond: number;
  sharedTokens: number;
  ownTokens: number;
  outputTokens: number;
  subjects: number;
  targetMs: number;
  pauseTargetMs: number;
}

/** The kinds of stream of the first deployment, as its sheet gives them. */
const KINDS: Readonly<Record<Kind, KindShape>> = {
  chat: {
    ...{ perSecond: 29.5, sharedTokens: 198, ownTokens: 628, outputTokens: 290 },
    ...{ subjects: 198, targetMs: 600, pauseTargetMs: 200 },
  },
  tag: {
    ...{ perSecond: 16.9, sharedTokens: 568, ownTokens: 1_800, outputTokens: 25 },
    ...{ subjects: 113, targetMs: 1_200, pauseTargetMs: 300 },
  },
  plan: {
    ...{ perSecond: 8.7, sharedTokens: 5_382, ownTokens: 6_610, outputTokens: 380 },
    ...{ subjects: 131, targetMs: 2_500, pauseTargetMs: 800 },
  },
};
const KIND_NAMES: readonly Kind[] = ['chat', 'tag', 'plan'];
const ENGINES = 8;
const DURATION_MS = 12_000;
const DRAIN_MS = 16_000;
const DEADLINE_MS = 15_000;
const BURST = { startMs: 2_000, endMs: 9_000 };
const TICK_MS = 10;
const RANDOM_RANGE = 1_000_000;

/** A load that the deployments see. */
interface Pattern {
  name: string;
  /** Traffic of each kind during the burst over its usual. */
  burst?: Partial<Record<Kind, number>>;
  /** Share of the plans that are about one subject. */
  hotSubjectShare?: number;
  /** Engines that take this many times as long. */
  slow?: { count: number; slowness: number };
  /** Least share of each kind that is on time. */
  least: Record<Kind, number>;
}

// The bounds are the aims of the placement work: chats 95 in 100 on quiet days and 85 in 100 on days of high load,
// and no kind under half of its worth.
const patterns: Pattern[] = [
  { name: 'a quiet day', least: { chat: 0.95, tag: 0.95, plan: 0.95 } },
  {
    name: 'a burst of plans beside chats',
    burst: { plan: 2.3 },
    least: { chat: 0.85, tag: 0.85, plan: 0.5 },
  },
  { name: 'a burst of chats', burst: { chat: 2.1 }, least: { chat: 0.85, tag: 0.85, plan: 0.5 } },
  {
    name: 'a hot subject',
    hotSubjectShare: 0.3,
    least: { chat: 0.85, tag: 0.85, plan: 0.5 },
  },
  {
    name: 'an engine that turned slow',
    slow: { count: 1, slowness: 5 },
    least: { chat: 0.85, tag: 0.85, plan: 0.5 },
  },
];

interface Outcome {
  kind: Kind;
  isOnTime: boolean;
}

/** Plays a pattern in virtual time over simulated engines; `place` chooses the engine or refuses. */
class PatternPlay {
  readonly outcomes: Outcome[] = [];
  private readonly engines = Array.from({ length: ENGINES }, () => new SimulatedEngine());
  private readonly loads = new LoadTable();
  private readonly prefixes = new PrefixCacheTracker();
  private readonly speeds = new SpeedTracker();
  private readonly random: RandomGenerator;
  private readonly options: PlacementOptions;
  private nowMs = 0;
  private nextId = 0;
  /** Prediction for the request that is being placed. */
  private expected = { prefillMs: 0, firstEventMs: 0, fetchedTokens: 0 };
  /** Prompt tokens that the engines read. */
  readTokens = 0;

  constructor(
    private readonly pattern: Pattern,
    private readonly isBaseline: boolean,
    seed: number,
    private readonly canFetch = false,
  ) {
    this.random = mersenne(seed);
    this.options = {
      partition: new PromptLengthPartition(),
      profile: DEFAULT_ENGINE_PROFILE,
      firstEventOverheadMs: 0,
      tightestPauseTargetMs: 200,
    };
    for (const engine of this.engines.slice(0, pattern.slow?.count ?? 0)) {
      engine.slowness = pattern.slow?.slowness ?? 1;
    }
  }

  run(): void {
    for (; this.nowMs < DURATION_MS + DRAIN_MS; this.nowMs += TICK_MS) {
      for (const engine of this.engines) engine.advance(this.nowMs);
      if (this.nowMs < DURATION_MS) this.#addArrivals();
    }
  }

  #addArrivals(): void {
    const isBurst = this.nowMs >= BURST.startMs && this.nowMs < BURST.endMs;
    for (const kind of KIND_NAMES) {
      const factor = isBurst ? (this.pattern.burst?.[kind] ?? 1) : 1;
      const expected = (KINDS[kind].perSecond * factor * TICK_MS) / 1_000;
      if (this.#sampleRandom() < expected) this.#addRequest(kind);
    }
  }

  #addRequest(kind: Kind): void {
    const shape = KINDS[kind];
    const isHot = kind === 'plan' && this.#sampleRandom() < (this.pattern.hotSubjectShare ?? 0);
    const subject = isHot ? 0 : Math.floor(this.#sampleRandom() * shape.subjects);
    // Sizes vary like the sheet's: most are small and a tenth is several times the mean.
    const ownTokens = Math.round(shape.ownTokens * (this.#sampleRandom() < 0.1 ? 3 : 0.78));
    this.nextId += 1;
    const request: StreamRequest = {
      promptTokens: shape.sharedTokens + ownTokens,
      parts: [
        { id: `${kind}-${subject}`, tokens: shape.sharedTokens },
        { id: `own-${this.nextId}`, tokens: ownTokens },
      ],
      outputTokens: shape.outputTokens,
      firstEventTargetMs: shape.targetMs,
      pauseTargetMs: shape.pauseTargetMs,
      remainingMs: DEADLINE_MS,
    };
    const serverId = this.#chooseServer(kind, request);
    if (serverId === undefined) this.outcomes.push({ kind, isOnTime: false });
    else this.#send(kind, request, serverId);
  }

  #chooseServer(kind: Kind, request: StreamRequest): string | undefined {
    if (this.isBaseline) return String(Math.floor(this.#sampleRandom() * ENGINES));
    const serverIds = this.engines.map((_, index) => String(index));
    const slowness = this.speeds.listSlowness(serverIds, this.nowMs);
    const placement = choosePlacement(
      request,
      serverIds.map((serverId) => ({
        serverId,
        load: this.loads.getLoad(serverId, this.nowMs),
        cachedTokens: this.prefixes.countCachedTokens(serverId, request.parts, this.nowMs),
        fetchableTokens: this.canFetch
          ? this.prefixes.countFetchableTokens(serverId, request.parts, this.nowMs)
          : 0,
        slowness: slowness.get(serverId) ?? 1,
        failureRate: 0,
        isAvoided: false,
      })),
      this.options,
    );
    if (placement === undefined) return undefined;
    const admission = chooseAdmission(
      {
        ...{
          firstEventTargetMs: request.firstEventTargetMs,
          firstEventTimeoutMs: 4 * request.firstEventTargetMs,
        },
        ...{ remainingMs: DEADLINE_MS, totalTimeoutMs: DEADLINE_MS, isLowestTier: kind === 'plan' },
      },
      placement,
      this.#sampleRandom(),
    );
    if (admission.kind === 'refuse') return undefined;
    this.expected = placement;
    return placement.serverId;
  }

  #send(kind: Kind, request: StreamRequest, serverId: string): void {
    const shape = KINDS[kind];
    const placed: PlacedRequest = {
      serverId,
      prefillMs: this.expected.prefillMs,
      heldTokens: request.promptTokens,
      isPauseSensitive: isPauseSensitive(request.pauseTargetMs, this.options),
      hasLongPrompt: isLongPrompt(request, this.options),
      expectedFirstByteAtMs: this.nowMs + this.expected.firstEventMs,
      isStreaming: false,
    };
    const keptTokens =
      this.prefixes.countCachedTokens(serverId, request.parts, this.nowMs) +
      this.expected.fetchedTokens;
    this.readTokens += request.promptTokens - keptTokens;
    this.loads.add(placed, this.nowMs);
    this.prefixes.record(
      serverId,
      request.parts,
      { kvTokens: DEFAULT_ENGINE_PROFILE.kvTokens, heldTokens: 0 },
      this.nowMs,
    );
    const stream: SimulatedStream = {
      newPromptTokens: request.promptTokens - keptTokens,
      contextTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      arrivedAtMs: this.nowMs,
      firstEventAtMs: undefined,
      longestPauseMs: 0,
      onFirstEvent: () => {
        this.loads.markStreaming(placed);
      },
      onPause: (pauseMs) => {
        this.speeds.recordPause(serverId, pauseMs, this.nowMs);
      },
      onEnd: () => {
        this.loads.remove(placed);
        const firstEventMs = (stream.firstEventAtMs ?? Infinity) - stream.arrivedAtMs;
        const isOnTime =
          firstEventMs <= shape.targetMs && stream.longestPauseMs <= shape.pauseTargetMs;
        this.outcomes.push({ kind, isOnTime });
      },
    };
    this.engines[Number(serverId)]?.start(stream, this.nowMs);
  }

  /** A number from 0 to 1. */
  #sampleRandom(): number {
    return unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, this.random) / RANDOM_RANGE;
  }
}

function measureOnTime(pattern: Pattern, isBaseline: boolean, seed: number): Record<Kind, number> {
  const play = new PatternPlay(pattern, isBaseline, seed);
  play.run();
  const share = (kind: Kind) => {
    const ended = play.outcomes.filter((outcome) => outcome.kind === kind);
    return ended.filter(({ isOnTime }) => isOnTime).length / ended.length;
  };
  return { chat: share('chat'), tag: share('tag'), plan: share('plan') };
}

const SEEDS = [1, 2, 3];

test.each(patterns.flatMap((pattern) => SEEDS.map((seed) => ({ ...pattern, seed }))))(
  '$name, seed $seed: enough streams of each kind are on time',
  ({ seed, ...pattern }) => {
    const onTime = measureOnTime(pattern, false, seed);
    for (const kind of KIND_NAMES) {
      expect(onTime[kind], kind).toBeGreaterThanOrEqual(pattern.least[kind]);
    }
  },
);

test.each(patterns)('$name: chats fare better than with any server at random', (pattern) => {
  const placed = measureOnTime(pattern, false, 1);
  const atRandom = measureOnTime(pattern, true, 1);
  expect(placed.chat).toBeGreaterThan(atRandom.chat);
});

// Guards against prompts that each engine reads anew, and against copies that crowd out running streams.
test.each(SEEDS)('a burst of plans with fetched prompts, seed %i: less is read', (seed) => {
  const pattern: Pattern = {
    name: 'a burst of plans beside chats',
    burst: { plan: 2.3 },
    least: { chat: 0.85, tag: 0.85, plan: 0.5 },
  };
  const [without, fetching] = [false, true].map((canFetch) => {
    const play = new PatternPlay(pattern, false, seed, canFetch);
    play.run();
    const plans = play.outcomes.filter(({ kind }) => kind === 'plan');
    const onTime = plans.filter(({ isOnTime }) => isOnTime).length / plans.length;
    return { readTokens: play.readTokens / play.outcomes.length, onTime };
  });
  expect(fetching?.readTokens).toBeLessThan(without?.readTokens ?? 0);
  expect(fetching?.onTime).toBeGreaterThan(without?.onTime ?? 1);
});
