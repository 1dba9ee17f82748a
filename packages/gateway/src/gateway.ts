import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { isDeepStrictEqual } from 'node:util';
import {
  createRetryBudget,
  FailureTracker,
  InstanceGroups,
  LoadTable,
  PrefixCacheTracker,
  SpeedTracker,
} from '@pollendrum/policy';
import type { GatewaySettings } from '@pollendrum/protocol';
import { AnswerBuffers } from './answer-buffers';
import { AvailabilityObserver } from './availability-observer';
import { BackendPool } from './backend-pool';
import type { BackendServer, RouteBundle } from './bundle';
import { createCallerServer } from './caller-server';
import { CrashObserver } from './crash-observer';
import { DutyTasks } from './duties/duty-tasks';
import type { DutyCalls, DutyKind } from './duties/types';
import { recordPrompt } from './gateway-context';
import type { GatewayContext } from './gateway-context';
import { FleetExchange } from './fleet-exchange';
import { createGatewayMetrics } from './gateway-metrics';
import { InstanceAnnouncement } from './instance-announcement';
import { HeaderCodec } from './header-codec';
import type { HeaderNames } from './header-codec';
import { KeyFreshness } from './key-freshness';
import type { ReportedPrompt } from './load-report-codec';
import { LimitObserver } from './limit-observer';
import { createMetricsServer, createReadinessServer } from './operator-servers';
import { LimitedAdmissions } from './limited-admissions';
import type { GatewayLog } from './log-and-clock';
import { RouteTable } from './route-table';
import type { LeavingSource } from './server-availability';
import { makeServerKey } from './server-key';
import { ServerChooser } from './server-chooser';
import { ScalingTask } from './scaling/scaling-task';
import { resolveScaling } from './scaling/valid-scaling';
import { ServerRegistry } from './server-registry';
import type { ServerChange } from './server-registry';
import { StoreEraWatch } from './store-era-watch';
import { INSTANCE_KIND, StoreWatchers } from './store-watchers';
import type { ObjectDecoders } from './store-watchers';
import type { ObjectStore } from './object-store';
import { SuspensionDetector } from './suspension-detector';
import { TrafficLog } from './traffic-log';
import type { TrafficMeter } from './traffic-meter';

export interface GatewayOptions {
  settings: GatewaySettings;
  store: ObjectStore;
  headerNames: HeaderNames;
  decoders: ObjectDecoders;
  log: GatewayLog;
  traffic: TrafficMeter;
  /** Calls that one instance makes for the fleet, and those that the platform asks for; undefined if there are none. */
  duties?: { calls: DutyCalls; kinds: readonly DutyKind[] } | undefined;
}

/** Settings that are read at each use, so that a reload takes effect without a restart. */
const RELOADABLE_SETTINGS = [
  'drainLimitSeconds',
  'isKeyRevocationStrict',
  'keyRevocationMs',
  'retryRatio',
  'retrySlack',
] as const satisfies readonly (keyof GatewaySettings)[];
/** Longest time for which the watches wait for the first announcement, in milliseconds. */
const MAX_ANNOUNCE_DELAY_MS = 200;
/**
 * Share of `retrySlack`, the retries allowed regardless of the retry ratio, that all instances together use. The rest
 * is a margin, since instances do not know their number exactly.
 */
const RETRY_SLACK_SHARE = 0.6;
/** A timer can fire this much early, in milliseconds. */
const REMOVAL_TIMER_MARGIN_MS = 2;
/**
 * Time after SIGTERM for which the load balancer still sends new connections, in milliseconds; it stops after two
 * failed readiness checks.
 */
const LOAD_BALANCER_LAG_MS = 3_000;
/** The drain ends this long before SIGKILL, so that the process exits by itself, in milliseconds. */
const EXIT_MARGIN_MS = 300;
/** Interval at which a draining instance checks for open requests, in milliseconds. */
const DRAIN_POLL_MS = 50;
/** Time before the end of the drain at which requests that are still open are answered, in milliseconds. */
const LAST_ANSWERS_MS = 100;
const MS_PER_SECOND = 1_000;

/** A gateway instance: accepts callers' requests and forwards them to backend servers. */
export class Gateway implements AsyncDisposable {
  private routeTable: RouteTable | undefined;
  private isDraining = false;
  private isAccepting = true;
  private wasReady = false;
  private drainPromise: Promise<void> | undefined;
  private readonly context: GatewayContext;
  private readonly fleetExchange: FleetExchange;
  private readonly announcement: InstanceAnnouncement;
  private readonly storeWatchers: StoreWatchers;
  private readonly callerServer: ReturnType<typeof createCallerServer>;
  private readonly speeds = new SpeedTracker();
  private readonly duties: DutyTasks | undefined;
  private readonly suspension = new SuspensionDetector();
  private removalTimer: NodeJS.Timeout | undefined;
  private readonly trafficLog: TrafficLog;
  private readonly scalingTask: ScalingTask | undefined;
  private readonly httpServers: Server[] = [];

  constructor(private readonly options: GatewayOptions) {
    const { settings, log, traffic } = options;
    const clock = () => performance.now();
    const registry = new ServerRegistry(
      (change) => {
        this.#handleServerChange(change);
      },
      () => {
        this.#scheduleRemovals();
      },
    );
    const loads = new LoadTable();
    const prefixes = new PrefixCacheTracker();
    const failures = new FailureTracker();
    const groups = new InstanceGroups(settings.instanceId);
    const countInstances = () => Math.max(1, this.storeWatchers.countInstances());
    const { speeds } = this;
    const checkSuspension = () => {
      if (this.suspension.checkSuspension()) this.#handleSuspension();
    };
    const eras = new StoreEraWatch({
      ...{ clock, log },
      onRaise: (_, source) => {
        metrics.storeEras.inc({ source });
      },
      onOutdated: () => {
        metrics.outdatedAnswers.inc();
      },
    });
    this.announcement = createAnnouncement(options);
    this.fleetExchange = new FleetExchange({
      ...{ settings, store: options.store, registry, loads, groups, eras, traffic, clock, log },
      checkSuspension,
      onPrompt: (prompt) => {
        this.#handlePeerPrompt(prompt);
      },
      onLeaving: (server, source) => {
        this.#handleLeaving(server, source);
      },
    });
    const { quarantine, limitSharing, availability } = this.fleetExchange;
    const metrics = createGatewayMetrics(traffic, {
      countQuarantinedTraits: () => quarantine.countQuarantined(),
      countLimitedServers: () => limitSharing.countLimited(),
      getStoreEra: () => eras.getEra(),
      getDutyToken: () => this.duties?.getToken() ?? 0,
      getLastReportedWindow: () => this.duties?.getLastReportedWindow() ?? 0,
      listSpreads: () => this.context.chooser.listSpreads(clock()),
    });
    this.context = {
      settings,
      codec: new HeaderCodec(options.headerNames),
      log,
      clock,
      metrics,
      traffic,
      registry,
      keyFreshness: new KeyFreshness(settings, checkSuspension),
      loads,
      prefixes,
      failures,
      retryBudget: createRetryBudget({
        windowMs: settings.retryWindowSeconds * MS_PER_SECOND,
        minimumRetries: () => (settings.retrySlack * RETRY_SLACK_SHARE) / countInstances(),
      }),
      backendPool: new BackendPool(clock, countInstances, traffic),
      answerBuffers: new AnswerBuffers(),
      crashObserver: new CrashObserver({
        ...{ clock, log },
        isReclaimed: (server) => availability.reclaimed.has(makeServerKey(server)),
        onCrash: (crash) => {
          metrics.serverCrashes.inc({ service: crash.server.service });
          quarantine.recordCrash(crash);
        },
      }),
      quarantine,
      availabilityObserver: new AvailabilityObserver({
        log,
        onLeaving: (server, status) => {
          availability.recordLeaving(server, { kind: 'answer', status });
        },
        onPause: (server, durationMs) => {
          this.#handlePause(server, durationMs);
        },
      }),
      limitObserver: new LimitObserver({
        log,
        onAnswer: (server, requestsPerSecond) => {
          limitSharing.observe(server, requestsPerSecond);
        },
      }),
      chooser: new ServerChooser({
        failureDomain: settings.failureDomain,
        registry,
        loads,
        prefixes,
        failures,
        speeds,
        groups,
        ...{ availability, limits: limitSharing, log },
      }),
      availability,
      limitSharing,
      limitedAdmissions: new LimitedAdmissions(),
      getRouteTable: () => this.routeTable,
      reportPrompt: (serverId, parts) => {
        this.fleetExchange.addPrompt({ serverId, parts });
      },
      countRun: (teamName) => {
        this.duties?.recordRun(teamName);
      },
      isServerListUsable: () => this.storeWatchers.isServerListUsable(clock()),
      waitForServerList: (timeoutMs) => this.storeWatchers.waitForServerList(timeoutMs),
      isDraining: () => this.isDraining,
      isAccepting: () => this.isAccepting,
    };
    this.duties = this.#createDuties();
    this.trafficLog = new TrafficLog(traffic, log);
    this.scalingTask = this.#createScalingTask({ loads, groups });
    this.callerServer = createCallerServer(this.context);
    this.storeWatchers = new StoreWatchers({
      ...{ store: options.store, decoders: options.decoders, log, clock, registry, eras },
      keyFreshness: this.context.keyFreshness,
      ...{ news: this.fleetExchange.storeNews, checkSuspension },
      onBundle: (bundle, revision) => {
        this.#applyBundle(bundle, revision);
      },
      onRegain: () => {
        this.fleetExchange.requestMissedFacts();
      },
      onInstances: (instances, missing) => {
        groups.update(instances.map(({ instanceId }) => instanceId));
        this.fleetExchange.setInstances(instances);
        this.announcement.checkAnnounced(instances, missing);
        this.duties?.setInstances(instances);
      },
    });
  }

  /**
   * Opens the ports and starts watching the store.
   * Rejects when a port is already in use.
   */
  async start(): Promise<void> {
    const { settings, log } = this.options;
    await this.#openPort(
      createReadinessServer(this.options.settings, () => this.#checkReadiness()),
      settings.readinessAddress,
    );
    await this.#openPort(this.callerServer.server, settings.callerAddress);
    if (settings.metricsAddress !== undefined) {
      await this.#openPort(createMetricsServer(this.context), settings.metricsAddress);
    }
    // An instance that finds itself among the announced ones knows whether it is to read the store.
    await Promise.race([this.announcement.announce(), sleep(MAX_ANNOUNCE_DELAY_MS)]);
    this.storeWatchers.start();
    this.fleetExchange.start();
    this.duties?.start();
    this.scalingTask?.start();
    log.info('gateway started', {
      failureDomain: settings.failureDomain,
      callerAddress: settings.callerAddress,
      readinessAddress: settings.readinessAddress,
      peerPort: settings.peerPort,
    });
  }

  /**
   * Whether the load balancer should send new connections to this instance: it has a configuration, knows at least
   * one backend server, has up-to-date team keys and entries of servers and is not draining.
   */
  isReady(): boolean {
    if (this.isDraining || this.routeTable === undefined) return false;
    if (this.context.registry.count() === 0 || !this.context.isServerListUsable()) return false;
    return this.context.keyFreshness.isFresh(this.context.clock());
  }

  /**
   * Applies the settings that can change while the instance runs and returns the names of those that changed.
   * All other settings take effect after a restart.
   */
  applySettings(settings: GatewaySettings): string[] {
    const current = this.options.settings;
    const changed = RELOADABLE_SETTINGS.filter((name) => settings[name] !== current[name]);
    for (const name of changed) Object.assign(current, { [name]: settings[name] });
    const needRestart = (Object.keys(settings) as (keyof GatewaySettings)[]).filter(
      (name) => !isDeepStrictEqual(settings[name], current[name]),
    );
    this.options.log.info('settings reloaded', { changed, needRestart });
    return changed;
  }

  /**
   * Drains the instance: fails the readiness check, accepts connections until the load balancer has reacted, then
   * waits for open requests to end. Resolves shortly before SIGKILL at the latest, for each call at the same time.
   */
  drain(): Promise<void> {
    this.drainPromise ??= this.#drainOnce();
    return this.drainPromise;
  }

  async #drainOnce(): Promise<void> {
    this.isDraining = true;
    this.announcement.stop();
    const { settings, log, store } = this.options;
    const startedAtMs = this.context.clock();
    log.info('gateway is draining', { openRequests: this.callerServer.countOpenRequests() });
    void this.duties?.release();
    store.removeObject(INSTANCE_KIND, settings.instanceId).catch((error: unknown) => {
      log.warn('failed to remove the announcement of the instance', { error: String(error) });
    });
    const limitMs = Math.max(0, settings.drainLimitSeconds * MS_PER_SECOND - EXIT_MARGIN_MS);
    await sleep(Math.min(LOAD_BALANCER_LAG_MS, limitMs));
    this.isAccepting = false;
    this.callerServer.server.close();
    while (this.callerServer.countOpenRequests() > 0) {
      if (this.context.clock() - startedAtMs >= limitMs - LAST_ANSWERS_MS) break;
      await sleep(DRAIN_POLL_MS);
      this.callerServer.server.closeIdleConnections();
    }
    const openRequests = this.callerServer.countOpenRequests();
    if (openRequests > 0) {
      this.callerServer.endOpenRequests();
      await sleep(LAST_ANSWERS_MS);
    }
    this.duties?.flush();
    log.info('gateway stopped', {
      openRequests,
      elapsedMs: Math.round(this.context.clock() - startedAtMs),
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.removalTimer);
    this.announcement[Symbol.dispose]();
    this.trafficLog[Symbol.dispose]();
    await this.duties?.[Symbol.asyncDispose]();
    await this.scalingTask?.[Symbol.asyncDispose]();
    this.callerServer[Symbol.dispose]();
    await this.storeWatchers[Symbol.asyncDispose]();
    await this.fleetExchange[Symbol.asyncDispose]();
    await this.context.backendPool[Symbol.asyncDispose]();
    for (const server of this.httpServers) {
      server.close();
      server.closeAllConnections();
    }
    await this.options.store[Symbol.asyncDispose]();
  }

  /** Creates the tasks of the duties if the platform asks for any. */
  #createDuties(): DutyTasks | undefined {
    const { settings, duties, store, log } = this.options;
    if (settings.duties === undefined || duties === undefined) return undefined;
    if (duties.kinds.length === 0) return undefined;
    const { clock, metrics } = this.context;
    const { socket, storeNews } = this.fleetExchange;
    const options = { ...duties, settings, store, socket, storeNews, clock, log, metrics };
    return new DutyTasks(options, settings.duties.leaseMs);
  }

  /** Creates the task that orders servers if the platform takes orders. */
  #createScalingTask(known: { loads: LoadTable; groups: InstanceGroups }): ScalingTask | undefined {
    const { duties, log } = this.options;
    if (this.duties === undefined || duties?.kinds.includes('server-orders') !== true) {
      return undefined;
    }
    const { clock, registry, availability, metrics } = this.context;
    return new ScalingTask({
      ...{ ...known, calls: duties.calls, clock, log, registry, availability },
      holder: this.duties.lease,
      metrics: metrics.scaling,
      listServices: () => this.routeTable?.bundle.services ?? [],
      isServerListUsable: () => this.storeWatchers.isServerListUsable(clock()),
    });
  }

  /** Judges the readiness for the load balancer and logs when it has changed since the check before. */
  #checkReadiness(): boolean {
    const isReady = this.isReady();
    if (isReady === this.wasReady) return isReady;
    this.wasReady = isReady;
    const { clock, keyFreshness, registry, log } = this.context;
    log.info('readiness changed', {
      isReady,
      isDraining: this.isDraining,
      keyAgeMs: toWholeMs(keyFreshness.getAgeMs(clock())),
      serverListAgeMs: toWholeMs(this.storeWatchers.getServerListAgeMs(clock())),
      servers: registry.count(),
    });
    return isReady;
  }

  async #openPort(server: Server, address: string): Promise<void> {
    this.httpServers.push(server);
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.off('error', reject);
        resolve();
      });
    });
  }

  #scheduleRemovals(): void {
    const { registry, clock } = this.context;
    const dueAtMs = registry.computeNextRemovalMs();
    clearTimeout(this.removalTimer);
    if (dueAtMs === Infinity) return;
    this.removalTimer = setTimeout(
      () => {
        registry.applyDeferredRemovals(clock());
        this.#scheduleRemovals();
      },
      Math.max(0, dueAtMs - clock()) + REMOVAL_TIMER_MARGIN_MS,
    );
  }

  #handleSuspension(): void {
    this.options.log.warn('the process was suspended or the time of day was set');
    this.storeWatchers.discardSync();
  }

  #handleLeaving({ serverId, service }: BackendServer, source: LeavingSource): void {
    this.options.log.info('backend server leaves', {
      ...{ serverId, service, source: source.kind },
      ...source,
    });
    this.context.metrics.leavingServers.inc({ service, source: source.kind });
    this.context.backendPool.discardIdle(serverId);
  }

  #handlePause(server: BackendServer, durationMs: number): void {
    const { serverId, service } = server;
    this.context.availability.recordPause(server, durationMs);
    if (durationMs === 0) return;
    this.options.log.info('backend server asks for a pause', { serverId, service, durationMs });
    this.context.metrics.serverPauses.inc({ service });
  }

  #handlePeerPrompt(prompt: ReportedPrompt): void {
    const serviceName = this.context.registry.get(prompt.serverId)?.service;
    if (serviceName === undefined) return;
    const kvTokens = this.routeTable?.getService(serviceName)?.engine?.kvTokens;
    if (kvTokens !== undefined) recordPrompt(this.context, prompt, kvTokens);
  }

  #applyBundle(bundle: RouteBundle, revision: number): void {
    const { log } = this.options;
    if (this.routeTable !== undefined && bundle.version <= this.routeTable.version) {
      if (bundle.version < this.routeTable.version) {
        log.warn('an older configuration is ignored', { version: bundle.version });
      }
      return;
    }
    this.routeTable = new RouteTable(resolveScaling(bundle, this.routeTable));
    this.callerServer.applyLimits(bundle.limits);
    log.info('configuration in force', {
      version: bundle.version,
      revision,
      routes: bundle.routes.length,
      teams: bundle.teams?.length,
    });
  }

  #handleServerChange(change: ServerChange): void {
    const { serverId } = change.server;
    this.options.log.info(`backend server ${change.kind}`, { ...change.server });
    this.fleetExchange.handleServerChange(change);
    const { failures, loads, prefixes, backendPool, availabilityObserver, limitObserver } =
      this.context;
    switch (change.kind) {
      case 'added':
        return;
      case 'changed':
        if (!change.isRestarted) return;
        failures.removeServer(serverId);
        prefixes.removeServer(serverId);
        this.speeds.removeServer(serverId);
        backendPool.discardIdle(serverId);
        return;
      case 'removed':
        availabilityObserver.removeServer(serverId);
        limitObserver.removeServer(serverId);
        failures.removeServer(serverId);
        prefixes.removeServer(serverId);
        this.speeds.removeServer(serverId);
        loads.removeServer(serverId);
        void backendPool.removeServer(serverId);
        return;
    }
  }
}

/** Rounds a duration for a log line; undefined when it is infinite. */
function toWholeMs(durationMs: number): number | undefined {
  return Number.isFinite(durationMs) ? Math.round(durationMs) : undefined;
}

function createAnnouncement({ settings, store, log }: GatewayOptions): InstanceAnnouncement {
  const { instanceId, address, peerPort: port, failureDomain } = settings;
  const spec = { address, port, failureDomain, isWatchable: true, isReaderCandidate: true };
  return new InstanceAnnouncement({ instanceId, kind: INSTANCE_KIND, spec, store, log });
}
