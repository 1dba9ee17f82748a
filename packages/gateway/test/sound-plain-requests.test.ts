import type { RequestTrait } from '@pollendrum/policy';
import { afterEach, expect, test, vi } from 'vitest';
import type { RequestQuarantine } from '../src/request-quarantine';
import type { TraitSource } from '../src/request-traits';
import { setVirtualTime } from './lossy-network';
import { pickRandom, startQuarantineFleet } from './quarantine-fleet';

const SERVERS = 3;
const REQUESTS_PER_SECOND = 60;
const ANSWER_MS = 100;
const RESTART_MS = 3_500;
const KILL_TIMES_MS = [5_000, 10_000, 15_000];
const DURATION_MS = 20_000;
const LOSS_SHARE = 0.1;
const SEEDS = 4;
/** Share of the requests that must be sent while servers run. */
const MIN_SENT_SHARE = 0.98;
const TIMEOUT_MS = 60_000;

interface KillCase {
  name: string;
  /** Times between the ends of two servers, in milliseconds. */
  gapMs: number;
  /** Number of different requests; each is like no other one if undefined. */
  differentRequests: number | undefined;
}

interface RunningRequest {
  source: TraitSource;
  quarantine: RequestQuarantine;
  isRepeat: boolean;
}

/** Servers of a service that end from outside and start again, and answer all requests otherwise. */
class KilledServers {
  private readonly servers = Array.from({ length: SERVERS }, (_, index) => ({
    ...{ id: `desk-${index}`, startCount: 0, startsAtMs: 0 },
    running: new Set<RunningRequest>(),
  }));

  hasReady(): boolean {
    return this.servers.some(({ startsAtMs }) => startsAtMs <= performance.now());
  }

  /** Sends a request unless it is held back; returns whether it is. */
  send(request: RunningRequest): boolean {
    const { quarantine, source, isRepeat } = request;
    const judgement = quarantine.judgeSend(source, isRepeat);
    const server = pickRandom(
      this.servers.filter(({ startsAtMs }) => startsAtMs <= performance.now()),
    );
    if (judgement.kind === 'held-back') return true;
    if (server === undefined) return false;
    if (judgement.kind === 'probe') quarantine.recordProbe(judgement.traits);
    server.running.add(request);
    setTimeout(
      () => {
        if (server.running.delete(request)) quarantine.recordAnswer(source);
      },
      ANSWER_MS * (0.5 + Math.random()),
    );
    return false;
  }

  stopServer(index: number): void {
    const server = this.servers[index];
    if (server === undefined) return;
    const crashId = `${server.id}@${server.startCount}`;
    const broken = [...server.running];
    server.running.clear();
    server.startCount += 1;
    server.startsAtMs = performance.now() + RESTART_MS;
    for (const request of broken) {
      const trait = request.source.getRepetitionTrait();
      const crash = { crashId, server: makeUnusedServer(server.id), requestId: undefined };
      request.quarantine.recordCrash({ ...crash, traits: [trait], atMs: performance.now() });
      if (!request.isRepeat) this.send({ ...request, isRepeat: true });
    }
  }
}

function makeUnusedServer(serverId: string) {
  return {
    ...{ serverId, service: 'desk', host: '127.0.0.1', port: 1, failureDomain: 'local' },
    ...{ slots: 6, state: 'ready' as const, startedAtUnixMs: 1 },
  };
}

afterEach(() => {
  vi.useRealTimers();
  vi.restoreAllMocks();
});

const kills: KillCase[] = [0, 40, 90].flatMap((gapMs) => [
  { name: `each like no other, ${gapMs} ms apart`, gapMs, differentRequests: undefined },
  { name: `30 different ones, ${gapMs} ms apart`, gapMs, differentRequests: 30 },
  { name: `3 different ones, ${gapMs} ms apart`, gapMs, differentRequests: 3 },
]);
const cases = [6, 62].flatMap((instances) =>
  kills.flatMap((kill) =>
    Array.from({ length: SEEDS }, (_, seed) => ({ instances, seed, ...kill })),
  ),
);

// Guards against sound plain requests that are held back since all servers of their service were killed together while they ran.
test.each(cases)(
  'sound plain requests go on after kills: $instances instances, $name, seed $seed',
  async ({ instances, name, gapMs, differentRequests, seed }) => {
    setVirtualTime(instances * 1_000 + seed);
    await using fleet = startQuarantineFleet(instances, LOSS_SHARE);
    const servers = new KilledServers();
    for (const killAtMs of KILL_TIMES_MS) {
      for (let index = 0; index < SERVERS; index += 1) {
        setTimeout(
          () => {
            servers.stopServer(index);
          },
          killAtMs + index * gapMs,
        );
      }
    }
    let sent = 0;
    let heldBack = 0;
    for (let atMs = 0, index = 0; atMs < DURATION_MS; index += 1) {
      const quarantine = pickRandom(fleet.quarantines);
      const id = differentRequests === undefined ? index : Math.random() * differentRequests;
      const trait: RequestTrait = `request ${Math.floor(id)}`;
      const source = { listPartTraits: () => [], getRepetitionTrait: () => trait };
      if (quarantine !== undefined && servers.hasReady()) {
        if (servers.send({ source, quarantine, isRepeat: false })) heldBack += 1;
        else sent += 1;
      }
      atMs += 1_000 / REQUESTS_PER_SECOND;
      await vi.advanceTimersByTimeAsync(1_000 / REQUESTS_PER_SECOND);
    }
    const summary = `${instances} instances, ${name}, seed ${seed}: ${sent} sent, ${heldBack} held back`;
    console.log(summary);
    expect(sent / (sent + heldBack), summary).toBeGreaterThanOrEqual(MIN_SENT_SHARE);
  },
  TIMEOUT_MS,
);
