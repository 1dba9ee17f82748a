import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  createRetryBudget,
  FailureTracker,
  LoadTable,
  PrefixCacheTracker,
  SpeedTracker,
} from '@pollendrum/policy';
import type { GatewaySettings, ReportedPrompt } from '@pollendrum/protocol';
import { BackendPool } from './backend-pool';
import type { RouteBundle } from './bundle';
import { createCallerServer } from './caller-server';
import { recordPrompt } from './gateway-context';
import type { GatewayContext } from './gateway-context';
import { createGatewayMetrics } from './gateway-metrics';
import { HeaderCodec } from './header-codec';
import type { HeaderNames } from './header-codec';
import { KeyFreshness } from './key-freshness';
import { LoadExchange } from './load-exchange';
import type { GatewayLog } from './ports';
import { RouteTable } from './route-table';
import { ServerChooser } from './server-chooser';
import { ServerRegistry } from './server-registry';
import type { ServerChange } from './server-registry';
import { INSTANCE_KIND, StoreFollowers } from './store-followers';
import type { ObjectDecoders } from './store-followers';
import type { ObjectStore } from './store-port';

export interface GatewayOptions {
  settings: GatewaySettings;
  store: ObjectStore;
  headerNames: HeaderNames;
  decoders: ObjectDecoders;
  log: GatewayLog;
}

/** Settings that are read anew at each use. */
const RELOADABLE = [
  'drainLimitSeconds',
  'isKeyRevocationStrict',
  'keyRevocationMs',
  'retryRatio',
  'retrySlack',
] as const satisfies readonly (keyof GatewaySettings)[];
/** Pause before an announcement that failed is tried again, in milliseconds. */
const ANNOUNCE_RETRY_MS = 1_000;
const DEFAULT_READINESS_PATH = '/readyz';
/** Share of the retry slack that instances use together, since their counts are not exact. */
const RETRY_SLACK_SHARE = 0.6;
/** How often servers whose entries lapsed are looked for, in milliseconds. */
const EXPIRE_INTERVAL_MS = 200;
/** After SIGTERM the balancer goes on sending new connections until it has missed two checks, in milliseconds. */
const BALANCER_LAG_MS = 3_000;
/** Time before SIGKILL at which the process ends by itself, in milliseconds. */
const EXIT_MARGIN_MS = 300;
/** How often a stopping instance looks whether its last request has ended, in milliseconds. */
const DRAIN_POLL_MS = 50;
const MS_PER_SECOND = 1_000;

/** One running gateway instance. */
export class Gateway implements AsyncDisposable {
  private table: RouteTable | undefined;
  private isStopping = false;
  private readonly context: GatewayContext;
  private readonly exchange: LoadExchange;
  private readonly followers: StoreFollowers;
  private readonly callers: ReturnType<typeof createCallerServer>;
  private readonly speeds = new SpeedTracker();
  private readonly expireTimer: NodeJS.Timeout;
  private readonly servers: Server[] = [];

  constructor(private readonly options: GatewayOptions) {
    const { settings, log } = options;
    const clock = () => performance.now();
    const registry = new ServerRegistry((change) => {
      this.#handleServerChange(change);
    });
    const loads = new LoadTable();
    const prefixes = new PrefixCacheTracker();
    const failures = new FailureTracker();
    const instanceCount = () => Math.max(1, this.followers.countInstances());
    const { speeds } = this;
    this.context = {
      settings,
      codec: new HeaderCodec(options.headerNames),
      log,
      clock,
      metrics: createGatewayMetrics(),
      registry,
      keyFreshness: new KeyFreshness(settings),
      loads,
      prefixes,
      failures,
      retryBudget: createRetryBudget({
        windowMs: settings.retryWindowSeconds * MS_PER_SECOND,
        minimumRetries: () => (settings.retrySlack * RETRY_SLACK_SHARE) / instanceCount(),
      }),
      backendPool: new BackendPool(clock, instanceCount),
      chooser: new ServerChooser({
        failureDomain: settings.failureDomain,
        registry,
        loads,
        prefixes,
        failures,
        speeds,
      }),
      getRouteTable: () => this.table,
      reportPrompt: (serverId, parts) => {
        this.exchange.addPrompt({ serverId, parts: [...parts] });
      },
      isDraining: () => this.isStopping,
    };
    this.exchange = new LoadExchange({
      instanceId: settings.instanceId,
      address: settings.address,
      port: settings.peerPort,
      loads,
      clock,
      log,
      onPrompt: (prompt) => {
        this.#handlePeerPrompt(prompt);
      },
    });
    this.callers = createCallerServer(this.context);
    this.followers = new StoreFollowers({
      ...{ store: options.store, decoders: options.decoders, log, clock, registry },
      freshness: this.context.keyFreshness,
      onBundle: (bundle, revision) => {
        this.#applyBundle(bundle, revision);
      },
      onInstances: (instances) => {
        this.exchange.setPeers(instances);
      },
    });
    this.expireTimer = setInterval(() => {
      registry.expire(clock());
    }, EXPIRE_INTERVAL_MS);
  }

  /** Opens the ports and begins to follow the store. Rejects when a port is taken. */
  async start(): Promise<void> {
    const { settings, log } = this.options;
    await this.#openPort(
      createReadinessServer(this.options.settings, () => this.isReady()),
      settings.readinessAddress,
    );
    await this.#openPort(this.callers.server, settings.callerAddress);
    if (settings.metricsAddress !== undefined) {
      await this.#openPort(createMetricsServer(this.context), settings.metricsAddress);
    }
    this.followers.start();
    this.#announce().catch((error: unknown) => {
      log.error('announcing the instance failed', { error: String(error) });
    });
    log.info('gateway started', {
      failureDomain: settings.failureDomain,
      callerAddress: settings.callerAddress,
      readinessAddress: settings.readinessAddress,
      peerPort: settings.peerPort,
    });
  }

  /** Whether new callers should be sent here. */
  isReady(): boolean {
    if (this.isStopping || this.table === undefined) return false;
    if (this.context.registry.count() === 0) return false;
    return this.context.keyFreshness.isFresh(this.context.clock());
  }

  /**
   * Takes over the settings that can change while the instance runs and returns the names of those that did.
   * Names, addresses and ports take effect at the next start.
   */
  applySettings(settings: GatewaySettings): string[] {
    const current = this.options.settings;
    const changed = RELOADABLE.filter((name) => settings[name] !== current[name]);
    for (const name of changed) Object.assign(current, { [name]: settings[name] });
    const needRestart = (Object.keys(settings) as (keyof GatewaySettings)[]).filter(
      (name) => settings[name] !== current[name],
    );
    this.options.log.info('settings reloaded', { changed, needRestart });
    return changed;
  }

  /** Stops without cutting off requests, as far as the time until SIGKILL allows. */
  async drain(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { settings, log, store } = this.options;
    const startedAtMs = this.context.clock();
    log.info('gateway is stopping', { openRequests: this.callers.countOpen() });
    store.removeObject(INSTANCE_KIND, settings.instanceId).catch((error: unknown) => {
      log.warn('the announcement was not removed', { error: String(error) });
    });
    const limitMs = Math.max(0, settings.drainLimitSeconds * MS_PER_SECOND - EXIT_MARGIN_MS);
    await sleep(Math.min(BALANCER_LAG_MS, limitMs));
    this.callers.server.close();
    while (this.callers.countOpen() > 0) {
      if (this.context.clock() - startedAtMs >= limitMs) break;
      await sleep(DRAIN_POLL_MS);
      this.callers.server.closeIdleConnections();
    }
    log.info('gateway stopped', {
      openRequests: this.callers.countOpen(),
      elapsedMs: Math.round(this.context.clock() - startedAtMs),
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.expireTimer);
    await this.followers[Symbol.asyncDispose]();
    await this.exchange[Symbol.asyncDispose]();
    await this.context.backendPool[Symbol.asyncDispose]();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    await this.options.store[Symbol.asyncDispose]();
  }

  async #announce(): Promise<void> {
    const { settings, store, log } = this.options;
    const spec = { address: settings.address, port: settings.peerPort };
    while (!this.isStopping) {
      try {
        await store.putObject(INSTANCE_KIND, settings.instanceId, spec);
        return;
      } catch (error) {
        log.warn('announcing the instance failed; trying again', { error: String(error) });
        await sleep(ANNOUNCE_RETRY_MS);
      }
    }
  }

  async #openPort(server: Server, address: string): Promise<void> {
    this.servers.push(server);
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

  #handlePeerPrompt(prompt: ReportedPrompt): void {
    const serviceName = this.context.registry.get(prompt.serverId)?.service;
    if (serviceName === undefined) return;
    const kvTokens = this.table?.getService(serviceName)?.engine?.kvTokens;
    if (kvTokens !== undefined) recordPrompt(this.context, prompt, kvTokens);
  }

  #applyBundle(bundle: RouteBundle, revision: number): void {
    const { log } = this.options;
    if (this.table !== undefined && bundle.version <= this.table.version) {
      if (bundle.version < this.table.version) {
        log.warn('an older configuration is ignored', { version: bundle.version });
      }
      return;
    }
    this.table = new RouteTable(bundle);
    this.callers.applyLimits(bundle.limits);
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
    const { failures, loads, prefixes, backendPool } = this.context;
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
        failures.removeServer(serverId);
        prefixes.removeServer(serverId);
        this.speeds.removeServer(serverId);
        loads.removeServer(serverId);
        void backendPool.removeServer(serverId);
        return;
    }
  }
}

function createReadinessServer(settings: GatewaySettings, isReady: () => boolean): Server {
  const path = settings.readinessPath ?? DEFAULT_READINESS_PATH;
  return createServer((request, response) => {
    if (request.url !== path) response.writeHead(404).end();
    else response.writeHead(isReady() ? 200 : 503).end();
  });
}

function createMetricsServer(context: GatewayContext): Server {
  return createServer((_, response) => {
    context.metrics
      .renderText()
      .then((text) => {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
      })
      .catch((error: unknown) => {
        context.log.error('metrics could not be rendered', { error: String(error) });
        response.writeHead(500).end();
      });
  });
}
