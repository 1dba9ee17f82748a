import {
  choosePlacement,
  chooseNonStreamingServer,
  DEFAULT_ENGINE_PROFILE,
  PromptLengthPartition,
  isLongPrompt,
  isPauseSensitive,
} from '@pollendrum/policy';
import type {
  EngineProfile,
  FailureTracker,
  InstanceGroups,
  LimitJudgement,
  LoadTable,
  PlacementOptions,
  PrefixCacheTracker,
  SpeedTracker,
  StreamPlacement,
  StreamRequest,
} from '@pollendrum/policy';
import type { BackendServer, Route, Service } from './bundle';
import type { LimitSharing } from './limit-sharing';
import type { RequestHead } from './header-codec';
import type { Availability, ServerAvailability } from './server-availability';
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
}

/** Servers to choose from. */
interface ServerChoices {
  servers: readonly BackendServer[];
  /** Factor from the load that peers report to the load of all other instances. */
  peerFactor: number;
}

interface UsableServers extends ServerChoices {
  /** Whether other servers are left out because of their limits, so that these get more requests than usual. */
  replacesLimited: boolean;
}

/** Servers of a service that this instance's group uses, with the state of the lists that they were selected from. */
interface GroupServers extends ServerChoices {
  registryChanges: number;
  groupChanges: number;
}

/** Pause target of services and routes that state none, in milliseconds. */
const DEFAULT_PAUSE_TARGET_MS = 1_000;
/** Requests for each slot that a plain server gets at most while others are left out because of their limits. */
const MAX_OCCUPANCY = 2;

/** Chooses backend servers by load, prefix cache contents, speed and failures. */
export class ServerChooser {
  private readonly partitions = new Map<string, PromptLengthPartition>();
  private readonly groupServers = new Map<string, GroupServers>();

  constructor(private readonly options: ServerChooserOptions) {}

  /** Chooses a ready server that is not excluded; undefined when there is none. */
  choose(request: ServerChoiceRequest, nowMs: number): ServerChoice | undefined {
    const group = this.#selectGroupServers(request.serviceName);
    const choices = this.#selectUsable(request, group, nowMs);
    if (choices.servers.length === 0) return undefined;
    return request.route.kind === 'stream'
      ? this.#chooseForStream(request, choices, nowMs)
      : this.#chooseForPlainRequest(choices, nowMs);
  }

  /**
   * Selects the untried servers that are available and whose limits leave room: those of the group, or else all others that
   * name no limit, since the limits of servers outside the group are shared by other instances.
   */
  #selectUsable(
    { serviceName, excludedServerIds, avoidsRestrictedServers }: ServerChoiceRequest,
    group: ServerChoices,
    nowMs: number,
  ): UsableServers {
    const { registry, limits, availability } = this.options;
    const available: readonly Availability['kind'][] = avoidsRestrictedServers
      ? ['available']
      : ['available', 'returning'];
    const selectUntried = (servers: readonly BackendServer[]) =>
      servers.filter(
        (server) =>
          !excludedServerIds.has(server.serverId) &&
          available.includes(availability.judge(server, nowMs).kind),
      );
    const selectAllowed = (
      servers: readonly BackendServer[],
      allowed: readonly LimitJudgement['kind'][],
    ) => servers.filter((server) => allowed.includes(limits.judge(server, nowMs).kind));
    const untried = selectUntried(group.servers);
    const inGroup = selectAllowed(
      untried,
      avoidsRestrictedServers ? ['unlimited'] : ['unlimited', 'room'],
    );
    const servers =
      inGroup.length > 0
        ? inGroup
        : selectAllowed(selectUntried(registry.listReady(serviceName)), ['unlimited']);
    const replacesLimited = inGroup.length < untried.length;
    return { servers, peerFactor: group.peerFactor, replacesLimited };
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
    const selected = {
      servers: groups.selectServers(ready),
      peerFactor: groups.isDivided(ready.length) ? 1 : groups.getPeerFactor(),
      ...{ registryChanges, groupChanges },
    };
    this.groupServers.set(serviceName, selected);
    return selected;
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
    { servers, peerFactor }: ServerChoices,
    nowMs: number,
  ): ServerChoice | undefined {
    const { loads, prefixes, failures, speeds } = this.options;
    const { head, route } = request;
    const options: PlacementOptions = {
      partition: this.#getPartition(request.serviceName),
      profile: makeProfile(request.service),
      firstEventOverheadMs: speeds.getFirstEventOverheadMs(),
      tightestPauseTargetMs: request.tightestPauseTargetMs ?? DEFAULT_PAUSE_TARGET_MS,
    };
    const streamRequest: StreamRequest = {
      promptTokens: head.promptTokens,
      parts: head.parts,
      firstEventTargetMs: route.targetLatencyMs,
      outputTokens: head.outputTokens,
      pauseTargetMs: route.pauseTargetMs ?? DEFAULT_PAUSE_TARGET_MS,
      remainingMs: request.remainingMs,
    };
    const slowness = speeds.computeSlownessByServer(
      servers.map(({ serverId }) => serverId),
      nowMs,
    );
    const candidates = servers.map((server) => {
      const { serverId } = server;
      return {
        server,
        serverId,
        load: loads.getLoad(serverId, nowMs, peerFactor),
        cachedTokens: prefixes.countCachedTokens(serverId, head.parts, nowMs),
        fetchableTokens: prefixes.countFetchableTokens(serverId, head.parts, nowMs),
        slowness: slowness.get(serverId) ?? 1,
        failureRate: failures.getFailureRate(serverId, nowMs),
        isAvoided: failures.isAvoided(serverId, nowMs),
      };
    });
    const placement = choosePlacement(streamRequest, candidates, options);
    const chosen = candidates.find(({ serverId }) => serverId === placement?.serverId);
    if (placement === undefined || chosen === undefined) return undefined;
    const { server, load } = chosen;
    return {
      server,
      predictedMs: placement.firstEventMs,
      prefillMs: placement.prefillMs,
      queuedMs: load.queuedPrefillMs,
      heldTokens: head.promptTokens + head.outputTokens,
      isPauseSensitive: isPauseSensitive(streamRequest.pauseTargetMs, options),
      hasLongPrompt: isLongPrompt(streamRequest, options),
      placement,
      cacheSource: servers.find(({ serverId }) => serverId === placement.fetchFromId),
      hasEmptyQueue: load.waiting === 0,
    };
  }

  #getPartition(serviceName: string): PromptLengthPartition {
    const partition = this.partitions.get(serviceName) ?? new PromptLengthPartition();
    this.partitions.set(serviceName, partition);
    return partition;
  }

  #chooseForPlainRequest(
    { servers, peerFactor, replacesLimited }: UsableServers,
    nowMs: number,
  ): ServerChoice | undefined {
    const { loads, failures, speeds, failureDomain } = this.options;
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
    const serverId = chooseNonStreamingServer(candidates);
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
