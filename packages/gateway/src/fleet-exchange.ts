import type { InstanceGroups, LoadTable } from '@pollendrum/policy';
import type { GatewaySettings } from '@pollendrum/protocol';
import type { BackendServer } from './bundle';
import { FleetGossip } from './fleet-gossip';
import type { GossipFact } from './gossip-codec';
import { InstanceWatch } from './instance-watch';
import { LimitSharing } from './limit-sharing';
import type { ReportedPrompt } from './load-report-codec';
import { LoadReporter } from './load-reporter';
import type { Clock, GatewayLog } from './log-and-clock';
import type { ObjectStore } from './object-store';
import { PeerSocket } from './peer-socket';
import type { PeerAddress } from './peer-socket';
import { QuarantineArchive } from './quarantine-archive';
import { RemovalSharing } from './removal-sharing';
import { RequestQuarantine } from './request-quarantine';
import { ServerAvailability } from './server-availability';
import type { LeavingSource } from './server-availability';
import type { ServerChange, ServerRegistry } from './server-registry';
import type { StoreEraWatch } from './store-era-watch';
import { StoreNews } from './store-news';
import { INSTANCE_KIND } from './store-watchers';
import type { TrafficMeter } from './traffic-meter';

export interface FleetExchangeOptions {
  settings: Pick<GatewaySettings, 'instanceId' | 'address' | 'peerPort'>;
  store: ObjectStore;
  registry: ServerRegistry;
  loads: LoadTable;
  groups: InstanceGroups;
  eras: StoreEraWatch;
  traffic: TrafficMeter;
  clock: Clock;
  log: GatewayLog;
  /** Called when this instance learns that a server leaves. */
  onLeaving(server: BackendServer, source: LeavingSource): void;
  /** Called when a peer reports a prompt that it sent to a server. */
  onPrompt(prompt: ReportedPrompt): void;
  /** Checks whether the process was suspended. */
  checkSuspension(): void;
}

/**
 * What this instance exchanges with others over one socket: loads and prompts with its group, and with the whole fleet the
 * requests that crash servers, the servers that leave or are removed and the limits that servers name.
 */
export class FleetExchange implements AsyncDisposable {
  readonly quarantine: RequestQuarantine;
  readonly limitSharing: LimitSharing;
  readonly availability: ServerAvailability;
  readonly storeNews: StoreNews;
  private readonly removalSharing: RemovalSharing;
  readonly socket: PeerSocket;
  private readonly gossip: FleetGossip;
  private readonly instanceWatch: InstanceWatch;
  private readonly archive: QuarantineArchive;
  private readonly loadReporter: LoadReporter;
  private instances: readonly PeerAddress[] = [];

  constructor(private readonly options: FleetExchangeOptions) {
    const { settings, store, registry, loads, groups, traffic, clock, log } = options;
    const { eras, onPrompt, onLeaving } = options;
    const { instanceId, address, peerPort } = settings;
    const socket = new PeerSocket({ address, port: peerPort, log, traffic });
    this.socket = socket;
    this.loadReporter = new LoadReporter({
      ...{ instanceId, socket, loads, clock, log, onPrompt },
    });
    this.gossip = new FleetGossip({
      ...{ instanceId, socket, clock, log },
      onFact: (fact) => {
        this.#handleFact(fact);
      },
      listFacts: () => [
        ...this.quarantine.listFacts(),
        ...this.availability.listFacts(),
        ...this.limitSharing.listFacts(),
        ...this.removalSharing.listFacts(),
      ],
    });
    this.storeNews = new StoreNews({
      ...{ instanceId, socket, clock, log, checkSuspension: options.checkSuspension },
      onOutage: (untilMs) => {
        registry.recordOutage(untilMs);
      },
      onEra: (era) => {
        eras.observeEra(era);
      },
      getSinceNewEraMs: (nowMs) => eras.getSinceNewEraMs(nowMs),
    });
    const publish: FleetGossip['publish'] = (key, build, urgency) => {
      this.gossip.publish(key, build, urgency);
    };
    this.quarantine = new RequestQuarantine({
      ...{ instanceId, publish, clock, log },
      onChange: (trait) => {
        this.archive.put(trait);
      },
    });
    this.archive = new QuarantineArchive({ store, quarantine: this.quarantine, clock, log });
    eras.addListener(() => {
      this.archive.handleNewEra();
    });
    const getServer = (serverId: string) => registry.get(serverId);
    const listUsers = (onlyGroup: boolean) =>
      onlyGroup ? groups.selectMembers(this.instances) : this.instances;
    const isDivided = (service: string) => groups.isDivided(registry.listReady(service).length);
    this.availability = new ServerAvailability({
      ...{ publish, clock, getServer, onLeaving },
      countInstances: (service) =>
        isDivided(service) ? groups.countMembers() : this.instances.length,
    });
    this.removalSharing = new RemovalSharing({ publish, registry, clock });
    this.limitSharing = new LimitSharing({
      ...{ instanceId, socket, publish, clock, log },
      isDivided,
      getServer,
      listInstanceIds: (onlyGroup) => listUsers(onlyGroup).map(({ instanceId }) => instanceId),
    });
    this.instanceWatch = new InstanceWatch({
      ...{ instanceId, gossip: this.gossip, clock, log },
      removeAnnouncement: (peerId) => store.removeObject(INSTANCE_KIND, peerId),
    });
  }

  /** Reads what the store keeps of the requests that crash servers. */
  start(): void {
    this.archive.start();
  }

  /** Takes in the announced instances, which `groups` must know already. */
  setInstances(instances: readonly PeerAddress[]): void {
    this.instances = instances;
    this.loadReporter.setPeers(this.options.groups.selectMembers(instances));
    this.instanceWatch.setPeers(instances);
    this.gossip.setPeers(instances);
    this.storeNews.setInstances(instances);
    this.limitSharing.setPeers(instances);
    this.quarantine.setInstances(instances.map(({ instanceId }) => instanceId));
  }

  /** Takes in that a server is listed, has changed or is gone. */
  handleServerChange(change: ServerChange): void {
    this.availability.handleServerChange(change);
    this.limitSharing.handleServerChange(change.server);
    this.removalSharing.handleServerChange(change);
  }

  /** Asks other instances for what this one may have missed in an outage of the store. */
  requestMissedFacts(): void {
    this.gossip.requestMissedFacts();
  }

  /** Adds a prompt to the next report to the group. */
  addPrompt(prompt: ReportedPrompt): void {
    this.loadReporter.addPrompt(prompt);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.loadReporter[Symbol.asyncDispose]();
    await this.instanceWatch[Symbol.asyncDispose]();
    await this.gossip[Symbol.asyncDispose]();
    await this.storeNews[Symbol.asyncDispose]();
    await this.archive[Symbol.asyncDispose]();
    await this.limitSharing[Symbol.asyncDispose]();
    await this.socket[Symbol.asyncDispose]();
  }

  #handleFact(fact: GossipFact): void {
    switch (fact.kind) {
      case 'crash':
      case 'sound':
      case 'probe':
        this.quarantine.mergeFact(fact);
        return;
      case 'leaving':
        this.availability.mergeFact(fact);
        return;
      case 'removed':
        this.removalSharing.mergeFact(fact);
        return;
      case 'limit':
        this.limitSharing.mergeFact(fact);
        return;
    }
  }
}
