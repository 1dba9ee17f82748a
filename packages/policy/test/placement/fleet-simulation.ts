import { mersenne, unsafeUniformIntDistribution } from 'pure-rand';
import type { RandomGenerator } from 'pure-rand';
import {
  DEFAULT_ENGINE_PROFILE,
  InstanceGroups,
  isLongPrompt,
  isPauseSensitive,
  LoadChanges,
  LoadTable,
  PrefixCacheTracker,
  PromptLengthPartition,
  SpeedTracker,
} from '../../src';
import type { EngineProfile, PlacementOptions, StreamPlacement, StreamRequest } from '../../src';
import { SimulatedEngine } from './simulated-engine';
import type { SimulatedStream } from './simulated-engine';

interface KindTraffic {
  perSecond: number;
  sharedTokens: number;
  ownTokens: number;
  outputTokens: number;
  sharedPrefixes: number;
  firstEventTargetMs: number;
  pauseTargetMs: number;
}

/** Traffic of the largest deployment, as its specification gives it. */
export const LARGE_TRAFFIC: Readonly<Record<string, KindTraffic>> = {
  chat: {
    ...{ perSecond: 89, sharedTokens: 198, ownTokens: 628, outputTokens: 290 },
    ...{ sharedPrefixes: 600, firstEventTargetMs: 600, pauseTargetMs: 200 },
  },
  tag: {
    ...{ perSecond: 142, sharedTokens: 568, ownTokens: 1_800, outputTokens: 25 },
    ...{ sharedPrefixes: 900, firstEventTargetMs: 1_200, pauseTargetMs: 300 },
  },
  plan: {
    ...{ perSecond: 108, sharedTokens: 5_382, ownTokens: 6_618, outputTokens: 380 },
    ...{ sharedPrefixes: 1_454, firstEventTargetMs: 2_500, pauseTargetMs: 800 },
  },
};

export interface FleetCase {
  choosers: number;
  servers: number;
  profile: EngineProfile;
  /** Factor on the rates of `LARGE_TRAFFIC`. */
  trafficFactor: number;
  /** Shortest and longest age of a load report at its arrival, besides the interval between reports. */
  ageMs: readonly [number, number];
  /** Factors of the service times; server `n` has the one at `n` modulo their number. */
  speeds: readonly number[];
  hasNoise: boolean;
  seed: number;
  /** Time that is measured after the warm-up. */
  measuredMs: number;
}

/** One instance, with what the real decision code keeps. */
export interface Chooser {
  id: string;
  loads: LoadTable;
  prefixes: PrefixCacheTracker;
  speeds: SpeedTracker;
  partition: PromptLengthPartition;
  /** Servers of the group of this instance. */
  serverIds: readonly string[];
  peerFactor: number;
  options: PlacementOptions;
}

/** Places a request; called with the time and a source of random numbers from 0 to 1. */
export type ChooseServer = (
  chooser: Chooser,
  request: StreamRequest,
  nowMs: number,
  sampleRandom: () => number,
) => StreamPlacement | undefined;

/** Measures of a run, over servers of one speed where they compare servers. */
export interface FleetMeasures {
  /** Requests at a server in windows of 1 s: 99th percentile against the mean. */
  spread: number;
  /** The same for prefill time instead of requests. */
  workSpread: number;
  /** Requests at the busiest server over the run against the mean over all servers. */
  busiest: number;
  /** Servers that are idle while a request waits at one of the same speed, as a share of all servers. */
  idleWhileWaiting: number;
  /** Standard deviation of a server's queue over time against its mean. */
  oscillation: number;
  /** Prefilled tokens per second, in thousands. */
  prefilledPerMs: number;
  /** Mean and 99th percentile of the first event by kind, in milliseconds. */
  firstEventMs: Record<string, readonly [number, number]>;
  /** Mean absolute error of the predicted first event, in milliseconds. */
  predictionErrorMs: number;
  /** Share of streams whose first event and pauses meet their targets. */
  onTime: number;
  /** Load reports that all instances send, and loads in them, per second. */
  reports: number;
  reportedLoads: number;
}

const TICK_MS = 10;
const WARM_UP_MS = 4_000;
const WINDOW_MS = 1_000;
const RANDOM_RANGE = 0x7fffffff;
/** Exponent of the popularity of shared prefixes. */
const PREFIX_SKEW = 0.3;
/** Half of the requests arrive together with others at this interval, the rest independently. */
const CLUMP_INTERVAL_MS = 250;
const NOISE = { servers: 0.15, slowness: 2.5, durationMs: 600, intervalMs: 1_800 };
const REPORTED_LOADS = 24;
const REPORTS_PER_SECOND = 160;
const MIN_REPORT_INTERVAL_MS = 50;

interface Outcome {
  kind: string;
  predictedMs: number;
  stream: SimulatedStream;
}

/** Runs the instances of a deployment in virtual time, with load reports that arrive late. */
export class FleetSimulation {
  readonly engines: SimulatedEngine[];
  readonly choosers: Chooser[];
  readonly serverIds: readonly string[];
  /** Requests and prefill time placed at each server, by window. */
  readonly placedByWindow: number[][] = [];
  readonly workByWindow: number[][] = [];
  private readonly changes: LoadChanges[];
  private readonly peers: number[][];
  private readonly deliveries = new Map<number, (() => void)[]>();
  private readonly outcomes: Outcome[] = [];
  private readonly queueSums: { sum: number; squares: number }[];
  private readonly arrivalGenerator;
  private readonly choiceGenerator;
  private readonly endMs: number;
  private nowMs = 0;
  private nextId = 0;
  private idleWhileWaiting = 0;
  private prefilledTokens = 0;
  private reports = 0;
  private reportedLoads = 0;

  constructor(
    private readonly fleet: FleetCase,
    private readonly chooseServer: ChooseServer,
  ) {
    this.endMs = WARM_UP_MS + fleet.measuredMs;
    this.arrivalGenerator = mersenne(fleet.seed);
    // Ways that use random numbers get the same requests as the others.
    this.choiceGenerator = mersenne(fleet.seed + 1_000);
    this.serverIds = Array.from({ length: fleet.servers }, (_, index) => `server-${index}`);
    this.engines = this.serverIds.map(() => new SimulatedEngine(fleet.profile));
    this.queueSums = this.serverIds.map(() => ({ sum: 0, squares: 0 }));
    const ids = Array.from({ length: fleet.choosers }, (_, index) => `entry-${index}`);
    const groups = ids.map((id) => new InstanceGroups(id));
    for (const group of groups) group.update(ids);
    const servers = this.serverIds.map((serverId) => ({ serverId }));
    this.choosers = ids.map((id, index) => this.#makeChooser(id, servers, groups[index]));
    this.changes = this.choosers.map(({ loads }) => new LoadChanges(loads));
    this.peers = ids.map((id, index) =>
      (groups[index]?.selectMembers(ids.map((instanceId) => ({ instanceId }))) ?? [])
        .filter(({ instanceId }) => instanceId !== id)
        .map(({ instanceId }) => ids.indexOf(instanceId)),
    );
  }

  run(): FleetMeasures {
    for (; this.nowMs < this.endMs; this.nowMs += TICK_MS) {
      this.#setSpeeds();
      for (const engine of this.engines) engine.advance(this.nowMs);
      for (const deliver of this.deliveries.get(this.nowMs) ?? []) deliver();
      this.deliveries.delete(this.nowMs);
      this.#sendReports();
      this.#addArrivals();
      if (this.nowMs >= WARM_UP_MS) this.#observeQueues();
    }
    return this.#summarize();
  }

  #sampleArrivals = (): number => sampleNumber(this.arrivalGenerator);
  #sampleChoices = (): number => sampleNumber(this.choiceGenerator);

  #makeChooser(
    id: string,
    servers: readonly { serverId: string }[],
    groups: InstanceGroups | undefined,
  ): Chooser {
    const partition = new PromptLengthPartition();
    return {
      ...{ id, partition, loads: new LoadTable(), prefixes: new PrefixCacheTracker() },
      speeds: new SpeedTracker(),
      serverIds: (groups?.selectServers(servers) ?? []).map(({ serverId }) => serverId),
      peerFactor: groups?.isDivided(servers.length) === true ? 1 : (groups?.getPeerFactor() ?? 1),
      options: {
        ...{ partition, profile: this.fleet.profile },
        ...{ firstEventOverheadMs: 0, tightestPauseTargetMs: 200 },
      },
    };
  }

  #setSpeeds(): void {
    const { speeds, hasNoise } = this.fleet;
    const round = Math.floor(this.nowMs / NOISE.intervalMs);
    const isNoisy = hasNoise && this.nowMs % NOISE.intervalMs < NOISE.durationMs;
    for (const [index, engine] of this.engines.entries()) {
      // Another 15 of 100 servers in each round.
      const isAffected = isNoisy && ((index * 37 + round * 13) % 100) / 100 < NOISE.servers;
      engine.slowness = (speeds[index % speeds.length] ?? 1) * (isAffected ? NOISE.slowness : 1);
    }
  }

  #sendReports(): void {
    const [minAgeMs, maxAgeMs] = this.fleet.ageMs;
    for (const [index, changes] of this.changes.entries()) {
      const peers = this.peers[index] ?? [];
      const intervalMs = Math.max(
        MIN_REPORT_INTERVAL_MS,
        (peers.length * WINDOW_MS) / REPORTS_PER_SECOND,
      );
      const intervalTicks = Math.ceil(intervalMs / TICK_MS);
      if ((this.nowMs / TICK_MS + index * 7) % intervalTicks !== 0) continue;
      const due = changes.takeDue(this.nowMs, REPORTED_LOADS);
      if (due.length === 0 && !changes.hasRequests()) continue;
      const loads = new Map(due.map(({ serverId, load }) => [serverId, load]));
      this.reports += peers.length;
      this.reportedLoads += peers.length * due.length;
      const sender = this.choosers[index];
      for (const peer of peers) {
        // Each pair has its own age, so that reports of one instance stay in order.
        const share = ((index * 7919 + peer * 104_729) % 1_009) / 1_009;
        this.#scheduleDelivery(minAgeMs + share * (maxAgeMs - minAgeMs), () => {
          this.choosers[peer]?.loads.mergePeerReport(sender?.id ?? '', loads, this.nowMs);
        });
      }
    }
  }

  #scheduleDelivery(delayMs: number, deliver: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs / TICK_MS)) * TICK_MS;
    const others = this.deliveries.get(atMs);
    if (others === undefined) this.deliveries.set(atMs, [deliver]);
    else others.push(deliver);
  }

  #addArrivals(): void {
    const isClump = this.nowMs % CLUMP_INTERVAL_MS === 0;
    const spanMs = TICK_MS / 2 + (isClump ? CLUMP_INTERVAL_MS / 2 : 0);
    for (const [kind, { perSecond }] of Object.entries(LARGE_TRAFFIC)) {
      const expected = (perSecond * this.fleet.trafficFactor * spanMs) / WINDOW_MS;
      const count = Math.floor(expected + this.#sampleArrivals());
      for (let index = 0; index < count; index += 1) this.#addRequest(kind);
    }
  }

  #addRequest(kind: string): void {
    const traffic = LARGE_TRAFFIC[kind];
    const chooser = this.choosers[Math.floor(this.#sampleArrivals() * this.choosers.length)];
    if (traffic === undefined || chooser === undefined) return;
    const rank = this.#sampleArrivals() ** (1 / (1 - PREFIX_SKEW));
    const prefix = Math.floor(rank * traffic.sharedPrefixes);
    const ownTokens = Math.round(traffic.ownTokens * (this.#sampleArrivals() < 0.1 ? 3 : 0.78));
    this.nextId += 1;
    const request: StreamRequest = {
      promptTokens: traffic.sharedTokens + ownTokens,
      parts: [
        { id: `${kind}-${prefix}`, tokens: traffic.sharedTokens },
        { id: `own-${this.nextId}`, tokens: ownTokens },
      ],
      ...{ outputTokens: traffic.outputTokens, firstEventTargetMs: traffic.firstEventTargetMs },
      ...{ pauseTargetMs: traffic.pauseTargetMs, remainingMs: 15_000 },
    };
    const options = chooser.options;
    options.firstEventOverheadMs = chooser.speeds.getFirstEventOverheadMs();
    const placement = this.chooseServer(chooser, request, this.nowMs, this.#sampleChoices);
    if (placement !== undefined) this.#send(kind, chooser, request, placement);
  }

  #send(kind: string, chooser: Chooser, request: StreamRequest, placement: StreamPlacement): void {
    const { serverId } = placement;
    const { loads, prefixes, speeds, options } = chooser;
    const server = this.serverIds.indexOf(serverId);
    const known = prefixes.countCachedTokens(serverId, request.parts, this.nowMs);
    const reusedTokens = known + placement.fetchedTokens;
    const isQueueEmpty = loads.getLoad(serverId, this.nowMs, chooser.peerFactor).waiting === 0;
    const placed = {
      ...{ serverId, prefillMs: placement.prefillMs, isStreaming: false },
      heldTokens: request.promptTokens + request.outputTokens,
      isPauseSensitive: isPauseSensitive(request.pauseTargetMs, options),
      hasLongPrompt: isLongPrompt(request, options),
      expectedFirstByteAtMs: this.nowMs + placement.firstEventMs,
    };
    loads.add(placed, this.nowMs);
    this.#recordPrompt(chooser, serverId, request);
    const stream: SimulatedStream = {
      newPromptTokens: request.promptTokens - reusedTokens,
      contextTokens: request.promptTokens,
      ...{ outputTokens: request.outputTokens, arrivedAtMs: this.nowMs, longestPauseMs: 0 },
      firstEventAtMs: undefined,
      onFirstEvent: () => {
        loads.markStreaming(placed);
        if (isQueueEmpty) {
          speeds.recordFirstEvent((stream.firstEventAtMs ?? 0) - stream.arrivedAtMs, placement);
        }
      },
      onPause: (pauseMs) => {
        speeds.recordPause(serverId, pauseMs, this.nowMs);
      },
      onEnd: () => {
        loads.remove(placed);
      },
    };
    this.engines[server]?.start(stream, this.nowMs);
    if (this.nowMs < WARM_UP_MS) return;
    this.outcomes.push({ kind, predictedMs: placement.firstEventMs, stream });
    this.prefilledTokens += stream.newPromptTokens;
    const window = Math.floor((this.nowMs - WARM_UP_MS) / WINDOW_MS);
    const counts = (this.placedByWindow[window] ??= this.serverIds.map(() => 0));
    const work = (this.workByWindow[window] ??= this.serverIds.map(() => 0));
    counts[server] = (counts[server] ?? 0) + 1;
    work[server] = (work[server] ?? 0) + placement.prefillMs;
  }

  /** Records a prompt at its instance, and at the others of the group as soon as they are told. */
  #recordPrompt(chooser: Chooser, serverId: string, { parts }: StreamRequest): void {
    const kvCache = { kvTokens: this.fleet.profile.kvTokens, heldTokens: 0 };
    chooser.prefixes.record(serverId, parts, kvCache, this.nowMs);
    const [minAgeMs, maxAgeMs] = this.fleet.ageMs;
    const shared = parts.slice(0, -1);
    this.#scheduleDelivery((minAgeMs + maxAgeMs) / 2, () => {
      for (const peer of this.peers[this.choosers.indexOf(chooser)] ?? []) {
        this.choosers[peer]?.prefixes.record(serverId, shared, kvCache, this.nowMs);
      }
    });
  }

  #observeQueues(): void {
    const { speeds } = this.fleet;
    const waiting = speeds.map(() => 0);
    const idle = speeds.map(() => 0);
    for (const [index, engine] of this.engines.entries()) {
      const kind = index % speeds.length;
      waiting[kind] = (waiting[kind] ?? 0) + engine.countWaiting();
      if (engine.isIdle()) idle[kind] = (idle[kind] ?? 0) + 1;
      const queue = engine.countQueuedTokens();
      const sums = this.queueSums[index];
      if (sums === undefined) continue;
      sums.sum += queue;
      sums.squares += queue * queue;
    }
    for (const [kind, count] of waiting.entries()) {
      this.idleWhileWaiting += Math.min(count, idle[kind] ?? 0) / this.engines.length;
    }
  }

  #summarize(): FleetMeasures {
    const ticks = this.fleet.measuredMs / TICK_MS;
    const totals = this.serverIds.map((_, index) =>
      computeSum(this.placedByWindow.map((counts) => counts[index] ?? 0)),
    );
    const firstEventOf = ({ firstEventAtMs, arrivedAtMs }: SimulatedStream) =>
      (firstEventAtMs ?? this.endMs) - arrivedAtMs;
    const isOnTime = ({ kind, stream }: Outcome) =>
      firstEventOf(stream) <= (LARGE_TRAFFIC[kind]?.firstEventTargetMs ?? 0) &&
      stream.longestPauseMs <= (LARGE_TRAFFIC[kind]?.pauseTargetMs ?? 0);
    const started = this.outcomes.filter(({ stream }) => stream.arrivedAtMs < this.endMs - 3_000);
    const byKind = Object.keys(LARGE_TRAFFIC).map((kind) => {
      const times = started
        .filter((one) => one.kind === kind)
        .map((one) => firstEventOf(one.stream));
      return [kind, [computeMean(times), computePercentile(times, 0.99)] as const] as const;
    });
    const errors = started.map(({ predictedMs, stream }) =>
      Math.abs(predictedMs - firstEventOf(stream)),
    );
    return {
      spread: this.#computeSpread(this.placedByWindow),
      workSpread: this.#computeSpread(this.workByWindow),
      busiest: Math.max(...totals) / computeMean(totals),
      idleWhileWaiting: this.idleWhileWaiting / ticks,
      oscillation: computeMean(
        this.queueSums.map(({ sum, squares }) => {
          const mean = sum / ticks;
          return mean === 0 ? 0 : Math.sqrt(squares / ticks - mean * mean) / mean;
        }),
      ),
      prefilledPerMs: this.prefilledTokens / this.fleet.measuredMs,
      firstEventMs: Object.fromEntries(byKind),
      predictionErrorMs: computeMean(errors),
      onTime: started.filter(isOnTime).length / started.length,
      reports: (this.reports / this.endMs) * WINDOW_MS,
      reportedLoads: (this.reportedLoads / this.endMs) * WINDOW_MS,
    };
  }

  /** 99th percentile against the mean, averaged over the speeds. */
  #computeSpread(byWindow: readonly (readonly number[])[]): number {
    const { speeds } = this.fleet;
    const perSpeed = speeds.map((_, kind) => {
      const values = byWindow.flatMap((counts) =>
        counts.filter((__, index) => index % speeds.length === kind),
      );
      return computePercentile(values, 0.99) / computeMean(values);
    });
    return computeMean(perSpeed);
  }
}

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
function sampleNumber(generator: RandomGenerator): number {
  return unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, generator) / RANDOM_RANGE;
}

function computeSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function computeMean(values: readonly number[]): number {
  return computeSum(values) / Math.max(1, values.length);
}

function computePercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

/** Profile of the engines of the largest deployment. */
export const LARGE_PROFILE: EngineProfile = {
  ...DEFAULT_ENGINE_PROFILE,
  ...{ prefillTokensPerMs: 55, slots: 12 },
};
