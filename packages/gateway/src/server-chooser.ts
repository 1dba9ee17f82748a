import {
  choosePlacement,
  chooseNonStreamingServer,
  DEFAULT_ENGINE_PROFILE,
  PromptLengthPartition,
  ServerPool,
  isLongPrompt,
  isPauseSensitive,
} from '@pollendrum/policy';
import type {
  EngineProfile,
  FailureTracker,
  InstanceGroups,
  LoadTable,
  PlacementOptions,
  PrefixCacheTracker,
  SpeedTracker,
  StreamPlacement,
  StreamCandidate,
  StreamRequest,
} from '@pollendrum/policy';
import type { BackendServer, Route, Service } from './bundle';
import { summarizeSpread } from './load-spread';
import type { LoadSpread, PlacedStreams } from './load-spread';
import type { GatewayLog } from './log-and-clock';
import type { LimitSharing } from './limit-sharing';
import type { RequestHead } from './header-codec';
import type { ServerAvailability } from './server-availability';
import type { ServerRegistry } from './server-registry';

/** The server chosen for a request and the prediction behind the choice. */
export interface ServerChoice {
  server: BackendServer;
  /** Predicted time to the first event of a stream or to the complete response of a plain request, in milliseconds. */
  predictedMs: number;
  /** Predicted prefill time of the prompt, in milliseconds; 0 for a plain request. */
  prefillMs: number;
  /** Prefill time queued at the server, in milliseconds; 0 for a plain request. */
  queuedMs: number;
  /** Tokens of the prompt and the expected output; 0 for a plain request. */
  heldTokens: number;
  isPauseSensitive: boolean;
  hasLongPrompt: boolean;
  /** The prediction for a stream; undefined for a plain request. */
  placement: StreamPlacement | undefined;
  /** Server from which the chosen server fetches cached parts of the prompt. */
  cacheSource: BackendServer | undefined;
  /** Whether no request was queued at the server, so that the prediction depends only on the server's speed. */
  hasEmptyQueue: boolean;
}

/** Input for choosing a server. */
export interface ServerChoiceRequest {
  route: Route;
  service: Service | undefined;
  serviceName: string;
  head: RequestHead;
  /** Shortest pause target of the streams with a pause target that share the service, in milliseconds. */
  tightestPauseTargetMs: number | undefined;
  /** Time left for the whole response, in milliseconds. */
  remainingMs: number;
  excludedServerIds: ReadonlySet<string>;
  /** Whether the request leaves the servers that name limits or return from a pause to more urgent ones. */
  avoidsRestrictedServers: boolean;
}

export interface ServerChooserOptions {
  failureDomain: string;
  registry: ServerRegistry;
  loads: LoadTable;
  prefixes: PrefixCacheTracker;
  failures: FailureTracker;
  speeds: SpeedTracker;
  groups: InstanceGroups;
  availability: Pick<ServerAvailability, 'judge'>;
  limits: Pick<LimitSharing, 'judge'>;
  /** Gets a line on the spread of load at intervals while there are requests. */
  log?: GatewayLog;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  sampleRandom?: () => number;
}

/** Servers of a service that this instance's group uses, with the state of the lists that they were selected from. */
interface GroupServers {
  pool: ServerPool<BackendServer>;
  /** Factor from the load that peers report to the load of all other instances. */
  peerFactor: number;
  registryChanges: number;
  groupChanges: number;
}

/** Servers that were sampled for a request. */
interface SampledServers {
  servers: readonly BackendServer[];
  /** Whether other servers are left out because of their limits, so that these get more requests than usual. */
  replacesLimited: boolean;
}

/** Pause target of services and routes that state none, in milliseconds. */
const DEFAULT_PAUSE_TARGET_MS = 1_000;
/** Interval of the log lines on the spread of a service's load, in milliseconds. */
const SPREAD_LOG_INTERVAL_MS = 60_000;
/** Requests for each slot that a plain server gets at most while others are left out because of their limits. */
const MAX_OCCUPANCY = 2;

/** Chooses backend servers by load, prefix cache contents, speed and failures. */
export class ServerChooser {
  private readonly groupServers = new Map<string, GroupServers>();
  private readonly streams = new Map<string, PlacedStreams>();
  private readonly spreadLoggedAtMs = new Map<string, number>();
  private readonly sampleRandom: () => number;

  constructor(private readonly options: ServerChooserOptions) {
    this.sampleRandom = options.sampleRandom ?? Math.random;
  }

  /** Chooses a ready server that is not excluded; undefined when there is none. */
  choose(request: ServerChoiceRequest, nowMs: number): ServerChoice | undefined {
    const group = this.#selectGroupServers(request.serviceName);
    this.#reportSpread(request.serviceName, nowMs);
    return request.route.kind === 'stream'
      ? this.#chooseForStream(request, group, nowMs)
      : this.#chooseForPlainRequest(request, group, nowMs);
  }

  /**
   * Samples untried servers that are available and whose limits leave room: those of the group, or else all others that
   * name no limit, since the limits of servers outside the group are shared by other instances.
   */
  #sampleUsable(
    request: ServerChoiceRequest,
    nowMs: number,
    sample: (isUsable: (server: BackendServer) => boolean) => BackendServer[],
  ): SampledServers {
    const { registry, limits } = this.options;
    let replacesLimited = false;
    const inGroup = sample((server) => {
      if (!this.#isUntried(request, server, nowMs)) return false;
      const isAllowed = this.#hasRoom(request, server, nowMs);
      if (!isAllowed) replacesLimited = true;
      return isAllowed;
    });
    if (inGroup.length > 0) return { servers: inGroup, replacesLimited };
    const servers = registry
      .listReady(request.serviceName)
      .filter(
        (server) =>
          this.#isUntried(request, server, nowMs) &&
          limits.judge(server, nowMs).kind === 'unlimited',
      );
    return { servers, replacesLimited };
  }

  #isUntried(
    { excludedServerIds, avoidsRestrictedServers }: ServerChoiceRequest,
    server: BackendServer,
    nowMs: number,
  ): boolean {
    if (excludedServerIds.has(server.serverId)) return false;
    const { kind } = this.options.availability.judge(server, nowMs);
    return kind === 'available' || (kind === 'returning' && !avoidsRestrictedServers);
  }

  #hasRoom(
    { avoidsRestrictedServers }: ServerChoiceRequest,
    server: BackendServer,
    nowMs: number,
  ): boolean {
    const { kind } = this.options.limits.judge(server, nowMs);
    return kind === 'unlimited' || (kind === 'room' && !avoidsRestrictedServers);
  }

  /** Selects the ready servers that the group of this instance uses; the selection is kept until the lists change. */
  #selectGroupServers(serviceName: string): GroupServers {
    const { registry, groups } = this.options;
    const known = this.groupServers.get(serviceName);
    const registryChanges = registry.countChanges();
    const groupChanges = groups.countChanges();
    const isCurrent =
      known?.registryChanges === registryChanges && known.groupChanges === groupChanges;
    if (isCurrent) return known;
    const ready = registry.listReady(serviceName);
    const pool = known?.pool ?? new ServerPool<BackendServer>(new PromptLengthPartition());
    pool.setServers(groups.selectServers(ready));
    const selected = {
      ...{ pool, registryChanges, groupChanges },
      peerFactor: groups.isDivided(ready.length) ? 1 : groups.getPeerFactor(),
    };
    this.groupServers.set(serviceName, selected);
    return selected;
  }

  /** Lists how evenly load is spread over the servers of each service that this instance has chosen servers of. */
  listSpreads(nowMs: number): LoadSpread[] {
    return [...this.groupServers.keys()].map((service) => this.#summarizeSpread(service, nowMs));
  }

  #summarizeSpread(service: string, nowMs: number): LoadSpread {
    const { pool, peerFactor } = this.#selectGroupServers(service);
    const serverIds = pool.listServers().map(({ serverId }) => serverId);
    const streams = this.streams.get(service) ?? { placed: 0, evenedOut: 0 };
    const { loads } = this.options;
    return summarizeSpread(service, serverIds, streams, { loads, peerFactor, nowMs });
  }

  /** Logs the spread at intervals; the first line comes one interval after the first request. */
  #reportSpread(service: string, nowMs: number): void {
    const { log } = this.options;
    const loggedAtMs = this.spreadLoggedAtMs.get(service);
    if (log === undefined) return;
    if (loggedAtMs !== undefined && nowMs - loggedAtMs < SPREAD_LOG_INTERVAL_MS) return;
    this.spreadLoggedAtMs.set(service, nowMs);
    if (loggedAtMs === undefined) return;
    log.info('spread of load over backend servers', { ...this.#summarizeSpread(service, nowMs) });
  }

  #recordPlacement(service: string, { isEvenedOut }: StreamPlacement): void {
    const streams = this.streams.get(service) ?? { placed: 0, evenedOut: 0 };
    this.streams.set(service, streams);
    streams.placed += 1;
    if (isEvenedOut) streams.evenedOut += 1;
  }

  /** Records the time to the first event at a server whose queue was empty. */
  recordFirstEvent(observedMs: number, predicted: StreamPlacement): void {
    this.options.speeds.recordFirstEvent(observedMs, predicted);
  }

  /** Records the time between two events of a stream. */
  recordPause(serverId: string, pauseMs: number, nowMs: number): void {
    this.options.speeds.recordPause(serverId, pauseMs, nowMs);
  }

  /** Records the time of a complete response to a plain request. */
  recordResponse(serverId: string, responseMs: number, nowMs: number): void {
    this.options.speeds.recordResponse(serverId, responseMs, nowMs);
  }

  #chooseForStream(
    request: ServerChoiceRequest,
    group: GroupServers,
    nowMs: number,
  ): ServerChoice | undefined {
    const { loads, speeds } = this.options;
    const { head, route } = request;
    const streamRequest: StreamRequest = {
      promptTokens: head.promptTokens,
      parts: head.parts,
      firstEventTargetMs: route.targetLatencyMs,
      outputTokens: head.outputTokens,
      pauseTargetMs: route.pauseTargetMs ?? DEFAULT_PAUSE_TARGET_MS,
      remainingMs: request.remainingMs,
    };
    const profile = makeProfile(request.service);
    const tightestPauseTargetMs = request.tightestPauseTargetMs ?? DEFAULT_PAUSE_TARGET_MS;
    const isLong = isLongPrompt(streamRequest, { profile, tightestPauseTargetMs });
    const servers = this.#selectForStream(request, group, isLong, nowMs);
    if (servers.length === 0) return undefined;
    const candidates = this.#makeCandidates(servers, request, group, nowMs);
    const options: PlacementOptions = {
      ...{ profile, tightestPauseTargetMs },
      firstEventOverheadMs: speeds.getFirstEventOverheadMs(),
      partition: group.pool.partition,
      scope: group.pool.makeScope(isLong, head.parts),
      reportAgeMs: loads.estimateReportAgeMs(),
      random: this.sampleRandom(),
    };
    const placement = choosePlacement(streamRequest, candidates, options);
    const chosen = candidates.find(({ serverId }) => serverId === placement?.serverId);
    if (placement === undefined || chosen === undefined) return undefined;
    this.#recordPlacement(request.serviceName, placement);
    const { server, load } = chosen;
    return {
      server,
      predictedMs: placement.firstEventMs,
      prefillMs: placement.prefillMs,
      queuedMs: load.queuedPrefillMs,
      heldTokens: head.promptTokens + head.outputTokens,
      isPauseSensitive: isPauseSensitive(streamRequest.pauseTargetMs, options),
      hasLongPrompt: isLong,
      placement,
      cacheSource: servers.find(({ serverId }) => serverId === placement.fetchFromId),
      hasEmptyQueue: load.waiting === 0,
    };
  }

  /** Selects the sampled servers, those that have a prefix of the prompt cached, and where it is prefilled first. */
  #selectForStream(
    request: ServerChoiceRequest,
    { pool }: GroupServers,
    isLong: boolean,
    nowMs: number,
  ): readonly BackendServer[] {
    const { parts } = request.head;
    const { servers } = this.#sampleUsable(request, nowMs, (isUsable) =>
      pool.sampleForStream(isLong, isUsable, this.sampleRandom),
    );
    const selected = new Set(servers);
    const add = (server: BackendServer | undefined) => {
      if (server === undefined || selected.has(server)) return;
      if (!this.#isUntried(request, server, nowMs)) return;
      if (this.#hasRoom(request, server, nowMs)) selected.add(server);
    };
    for (const serverId of this.options.prefixes.listHolders(parts)) add(pool.get(serverId));
    add(pool.findAffinityServer(isLong, parts));
    return [...selected];
  }

  #makeCandidates(
    servers: readonly BackendServer[],
    { head }: ServerChoiceRequest,
    { pool, peerFactor }: GroupServers,
    nowMs: number,
  ): (StreamCandidate & { server: BackendServer })[] {
    const { loads, prefixes, failures, speeds } = this.options;
    const fastestPauseMs = speeds.getFastestPauseMs(nowMs);
    return servers.map((server) => {
      const { serverId } = server;
      const load = loads.getLoad(serverId, nowMs, peerFactor);
      pool.observeLoad(serverId, load);
      return {
        ...{ server, serverId, load },
        cachedTokens: prefixes.countCachedTokens(serverId, head.parts, nowMs),
        fetchableTokens: prefixes.countFetchableTokens(serverId, head.parts, nowMs),
        slowness: speeds.computeSlowness(serverId, fastestPauseMs, nowMs),
        failureRate: failures.getFailureRate(serverId, nowMs),
        isAvoided: failures.isAvoided(serverId, nowMs),
      };
    });
  }

  #chooseForPlainRequest(
    request: ServerChoiceRequest,
    { pool, peerFactor }: GroupServers,
    nowMs: number,
  ): ServerChoice | undefined {
    const { loads, failures, speeds, failureDomain } = this.options;
    const { servers, replacesLimited } = this.#sampleUsable(request, nowMs, (isUsable) =>
      pool.sampleForPlainRequest(isUsable, this.sampleRandom),
    );
    const all = servers.map((server) => ({
      server,
      serverId: server.serverId,
      load: loads.getLoad(server.serverId, nowMs, peerFactor),
      slots: server.slots,
      responseMs: speeds.getResponseMs(server.serverId, nowMs),
      failureRate: failures.getFailureRate(server.serverId, nowMs),
      isAvoided: failures.isAvoided(server.serverId, nowMs),
      isSameDomain: server.failureDomain === failureDomain,
    }));
    const candidates = replacesLimited
      ? all.filter(({ load, slots }) => load.waiting + load.streaming < slots * MAX_OCCUPANCY)
      : all;
    const serverId = chooseNonStreamingServer(candidates, {
      reportAgeMs: loads.estimateReportAgeMs(),
      random: this.sampleRandom(),
    });
    const chosen = candidates.find((candidate) => candidate.serverId === serverId);
    if (chosen === undefined) return undefined;
    return {
      server: chosen.server,
      predictedMs: chosen.responseMs,
      prefillMs: 0,
      queuedMs: 0,
      heldTokens: 0,
      isPauseSensitive: false,
      hasLongPrompt: false,
      placement: undefined,
      cacheSource: undefined,
      hasEmptyQueue: chosen.load.waiting === 0,
    };
  }
}

function makeProfile(service: Service | undefined): EngineProfile {
  if (service?.engine === undefined) return DEFAULT_ENGINE_PROFILE;
  return { ...DEFAULT_ENGINE_PROFILE, ...service.engine };
}
