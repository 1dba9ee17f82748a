import type { Decision, QueuedRequest, Scheduler, ShardServer } from '@pollendrum/policy';
import type {
  Enqueue,
  HeldGrant,
  ListedInstance,
  OutcomeRecord,
  PeerMessage,
} from '@pollendrum/protocol';
import { createDispatcherTask, type DispatcherTask } from '../../src/dispatcher/index';
import type { CrashReport, Member, MembershipView, RoutingView } from '../../src/ports';

const LOG = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};
// Disables load polls in tests that start no backend server.
const NO_POLLS_MS = 1_000_000;
const METRICS = { increment: () => undefined, gauge: () => undefined, timing: () => undefined };

/** Grants slots of servers that are not leaving in order of arrival. Sheds requests of class `refused`. */
export class FakeScheduler {
  waiting: QueuedRequest[] = [];
  readonly granted = new Map<string, string>();
  crashes: string[] = [];
  servers: readonly ShardServer[] = [];
  decisionRuns = 0;

  toScheduler(): Scheduler {
    return {
      updateClasses: () => undefined,
      updateTeams: () => undefined,
      updateServers: (servers) => (this.servers = servers),
      enqueue: (request) => this.waiting.push(request),
      withdraw: (attemptId) => {
        this.removeWaiting(attemptId);
      },
      adopt: ({ attemptId, serverId }) => this.granted.set(attemptId, serverId),
      finish: ({ attemptId }) => this.granted.delete(attemptId),
      observeCrash: (fingerprint) => this.crashes.push(fingerprint),
      clearCrash: (fingerprint) => (this.crashes = this.crashes.filter((f) => f !== fingerprint)),
      takeDecisions: () => {
        this.decisionRuns += 1;
        return this.waiting.slice().flatMap((request) => this.#makeDecision(request));
      },
      getNextWakeMs: () => Infinity,
      listWaiting: () => this.waiting.map(({ attemptId }) => attemptId),
      listGranted: () => this.listGranted(),
      summarize: () => ({ waitMsByTier: [0], usedSlots: this.granted.size, slots: 0 }),
    };
  }

  listGranted(): string[] {
    return [...this.granted.keys()];
  }

  removeWaiting(attemptId: string): void {
    this.waiting = this.waiting.filter((request) => request.attemptId !== attemptId);
  }

  #makeDecision({ attemptId, className }: QueuedRequest): Decision[] {
    if (className === 'refused') {
      this.removeWaiting(attemptId);
      return [{ kind: 'shed', attemptId, cause: { kind: 'missing-key' }, retryAfterMs: 1 }];
    }
    const used = [...this.granted.values()];
    const server = this.servers.find(
      ({ id, slots, isLeaving }) =>
        !isLeaving && used.filter((serverId) => serverId === id).length < slots,
    );
    if (server === undefined) return [];
    this.removeWaiting(attemptId);
    this.granted.set(attemptId, server.id);
    return [
      { kind: 'grant', attemptId, serverId: server.id, reason: 'tier', queuedMs: 0, tier: 0 },
    ];
  }
}

export function buildServer(id: string, slots: number, port = 1): ListedInstance {
  return {
    ...{ id, role: 'engine', address: '127.0.0.1', port, pool: 'm', slots },
    ...{ failureDomain: 'd', region: 'r', state: 'live' },
  };
}

export function buildEnqueue(attemptId: string, change: Partial<Enqueue> = {}): Enqueue {
  return {
    ...{
      kind: 'enqueue',
      attemptId,
      requestId: `r-${attemptId}`,
      poolId: 'model:m',
      shardIndex: 0,
    },
    ...{ shardCount: 1, className: 'quick', team: 't', fingerprint: 'f', prefixHash: 0 },
    ...{ promptTokens: 1, maxOutputTokens: 0, arrivedAgoMs: 0, remainingMs: 9_000 },
    ...{ excludedServerIds: [], isRetry: false, failureDomain: 'd', bundleNumber: 1 },
    ...change,
  };
}

export function buildHeld(attemptId: string, serverId = 's1'): HeldGrant {
  return {
    ...{ attemptId, requestId: `r-${attemptId}`, poolId: 'model:m', shardIndex: 0, shardCount: 1 },
    ...{ serverId, className: 'quick', team: 't', fingerprint: 'f', heldForMs: 10, isSent: true },
  };
}

/** The dispatcher's subscriptions. */
interface Listeners {
  message: (from: string, message: PeerMessage) => void;
  lost: (from: string) => void;
  routing: (view: RoutingView) => void;
  members: (view: MembershipView) => void;
  crash: (report: CrashReport) => void;
}

/** A dispatcher `d` with fake ports, and the entries `e1` and `e2`. */
export class DispatcherFixture implements AsyncDisposable {
  readonly schedulers: FakeScheduler[] = [];
  readonly sent: { to: string; message: PeerMessage }[] = [];
  readonly records: OutcomeRecord[] = [];
  readonly published: string[] = [];
  readonly pinged = new Set<string>();
  readonly task: DispatcherTask;
  members = ['d', 'e1', 'e2'];
  #routing: RoutingView;
  readonly #listeners = {} as Listeners;

  constructor(servers: ListedInstance[], owner = 'd', loadPollMs = NO_POLLS_MS) {
    this.#routing = this.buildRouting(servers, owner);
    const watch =
      <K extends keyof Listeners>(kind: K) =>
      (listener: Listeners[K]) => {
        this.#listeners[kind] = listener;
        return () => undefined;
      };
    this.task = createDispatcherTask({
      ...{ instanceId: 'd', log: LOG, metrics: METRICS, loadPollMs },
      peers: {
        instanceId: 'd',
        sendMessage: (to, message) => this.sent.push({ to, message }) > 0,
        watchMessages: watch('message'),
        watchLinkLoss: watch('lost'),
        requestPings: (id) => {
          this.pinged.add(id);
          return () => this.pinged.delete(id);
        },
      },
      routing: { getView: () => this.#routing, watchView: watch('routing') },
      bundles: { getActive: () => undefined, watchActive: () => () => undefined },
      membership: {
        getView: () => this.#buildMembers(),
        watchView: watch('members'),
        publishCrash: (fingerprint, serverId) => {
          this.published.push(`crash ${fingerprint}`);
          this.#listeners.crash({ kind: 'crash', fingerprint, serverId, ageMs: 0 });
        },
        publishCrashCleared: (fingerprint) => this.published.push(`cleared ${fingerprint}`),
        watchCrashes: watch('crash'),
        listCrashes: () => [],
      },
      createScheduler: () => {
        const scheduler = new FakeScheduler();
        this.schedulers.push(scheduler);
        return scheduler.toScheduler();
      },
      recordOutcome: (record) => this.records.push(record),
    });
  }

  get scheduler(): FakeScheduler {
    const scheduler = this.schedulers.at(-1);
    if (scheduler === undefined) throw new Error('no shard is owned');
    return scheduler;
  }

  send(from: string, ...messages: PeerMessage[]): void {
    for (const message of messages) this.#listeners.message(from, message);
  }

  failLink(from: string): void {
    this.#listeners.lost(from);
  }

  setMembers(members: string[]): void {
    this.members = members;
    this.#listeners.members(this.#buildMembers());
  }

  setRouting(servers: ListedInstance[], owner: string): void {
    this.#routing = this.buildRouting(servers, owner);
    this.#listeners.routing(this.#routing);
  }

  /** Kinds of the messages sent for an attempt, in order. */
  listReplies(attemptId: string): string[] {
    return this.sent
      .filter(({ message }) => 'attemptId' in message && message.attemptId === attemptId)
      .map(({ message }) => message.kind);
  }

  buildRouting(servers: ListedInstance[], ownerInstanceId: string): RoutingView {
    const shard = { poolId: 'model:m', shardIndex: 0, shardCount: 1, ownerInstanceId, servers };
    return { version: 5, pools: new Map([['model:m', [shard]]]) };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.task[Symbol.asyncDispose]();
  }

  #buildMembers(): MembershipView {
    const common = {
      address: '127.0.0.1',
      peerPort: 1,
      httpPort: 1,
      failureDomain: 'd',
      region: 'r',
    };
    const members = this.members.map((instanceId): Member => ({
      ...common,
      instanceId,
      state: 'alive',
    }));
    return { version: 1, members };
  }
}
