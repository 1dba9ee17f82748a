import { setTimeout as sleep } from 'node:timers/promises';
import type { FakeStore } from './fake-store';
import { makeServer, sendRequest } from './gateway-fixture';
import type { CallerResponse, TestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawBackend, RawHandler } from './raw-backend';

/** Time after an answer with a pause in which requests that were on their way still reach the server. */
const ON_THEIR_WAY_MS = 500;

/** How a server turns a request away. */
export interface Refusal {
  /** Values of the `retry-after` headers. */
  retryAfter: readonly string[];
  /** Time for which the server wants nothing from the instance, in milliseconds. */
  spanMs: number;
  /** Whether the answer states that the request was not run. */
  isNotRun: boolean;
  /** Time until the answer, in milliseconds. */
  delayMs?: number;
}

export interface PausingServersOptions {
  store: FakeStore;
  count: number;
  /** Number of servers that are listed at first; all by default. */
  listedCount?: number;
  service: string;
  /** Chooses how a server turns a request away; undefined serves it. `count` numbers the refusals by instance, from 0. */
  chooseRefusal(index: number, count: number): Refusal | undefined;
  /** Time until a request is answered, in milliseconds. */
  getServiceMs?(index: number, path: string): number;
}

/** A request that reached a server. */
export interface Arrival {
  instanceId: string;
  path: string;
  atMs: number;
}

interface Pause {
  instanceId: string;
  fromMs: number;
  untilMs: number;
}

/** What a server has seen. */
export interface ServerRecord {
  arrivals: Arrival[];
  pauses: Pause[];
}

/** Servers of one service that turn requests away and record by instance what reaches them. */
export interface PausingServers extends AsyncDisposable {
  records: readonly ServerRecord[];
  /** Lists a server that was not listed at first. */
  list(index: number): void;
  /** Lists a server again, as another start of it. */
  restart(index: number): void;
}

const EVENT_STREAM = 'content-type: text/event-stream\r\n';
const EVENT = 'id: 1\ndata: ok\n\n';

/** Starts servers named `SERVICE-0` and so on. Callers name the instance in `test-instance`. */
export async function startPausingServers({
  store,
  count,
  listedCount = count,
  service,
  chooseRefusal,
  getServiceMs = () => 0,
}: PausingServersOptions): Promise<PausingServers> {
  const records: ServerRecord[] = [];
  const backends: RawBackend[] = [];
  let startedAtUnixMs = 1;
  const list = (index: number) => {
    const serverId = `${service}-${index}`;
    const server = makeServer(serverId, service, backends[index]?.port ?? 0);
    store.put('servers', serverId, { ...server, startedAtUnixMs });
  };
  for (let index = 0; index < count; index += 1) {
    const record: ServerRecord = { arrivals: [], pauses: [] };
    records.push(record);
    const refusalCounts = new Map<string, number>();
    const handle: RawHandler = (socket, request) => {
      const instanceId = /^test-instance: (\S+)/im.exec(request)?.[1] ?? '';
      const path = request.split(' ')[1] ?? '';
      record.arrivals.push({ instanceId, path, atMs: performance.now() });
      const refusalCount = refusalCounts.get(instanceId) ?? 0;
      const refusal = chooseRefusal(index, refusalCount);
      if (refusal !== undefined) refusalCounts.set(instanceId, refusalCount + 1);
      const answer = () => {
        if (refusal === undefined) {
          const body = service === 'engines' ? EVENT : 'ok';
          const type = service === 'engines' ? EVENT_STREAM : '';
          socket.write(
            `HTTP/1.1 200 OK\r\ntest-signature: s\r\ntest-attempt: attempt-1\r\n${type}` +
              `content-length: ${body.length}\r\n\r\n${body}`,
          );
          return;
        }
        const fromMs = performance.now();
        record.pauses.push({ instanceId, fromMs, untilMs: fromMs + refusal.spanMs });
        const notRun = refusal.isNotRun ? 'test-not-run: 1\r\n' : '';
        const retryAfter = refusal.retryAfter.map((value) => `retry-after: ${value}\r\n`).join('');
        socket.write(
          `HTTP/1.1 503 Unavailable\r\ntest-attempt: attempt-1\r\n${notRun}${retryAfter}content-length: 0\r\n\r\n`,
        );
      };
      const delayMs = refusal === undefined ? getServiceMs(index, path) : (refusal.delayMs ?? 0);
      if (delayMs === 0) answer();
      else setTimeout(answer, delayMs);
    };
    backends.push(await startRawBackend(handle));
    if (index < listedCount) list(index);
  }
  return {
    records,
    list,
    restart: (index) => {
      startedAtUnixMs += 1;
      list(index);
    },
    async [Symbol.asyncDispose]() {
      await Promise.all(backends.map((backend) => backend[Symbol.asyncDispose]()));
    },
  };
}

/** Counts the most requests of one instance that reached a server in one of the pauses that it had asked the instance for. */
export function countMostInPause({ arrivals, pauses }: ServerRecord): number {
  const counts = pauses.map(
    (pause) =>
      arrivals.filter(
        ({ instanceId, atMs }) =>
          instanceId === pause.instanceId &&
          atMs >= pause.fromMs + ON_THEIR_WAY_MS &&
          atMs < pause.untilMs,
      ).length,
  );
  return Math.max(0, ...counts);
}

/** Finds the server that most requests have reached, which requests would go on to reach if it took them. */
export function findBusiest(records: readonly ServerRecord[]): number {
  const counts = records.map(({ arrivals }) => arrivals.length);
  return counts.indexOf(Math.max(...counts));
}

/** Sends a request that names the instance. */
export function sendTo(
  { callerPort, settings }: TestGateway,
  path: string,
  headers: Record<string, string> = {},
): Promise<CallerResponse> {
  return sendRequest(callerPort, path, {
    headers: { 'Test-Instance': settings.instanceId, 'Test-Tokens': '400,40', ...headers },
  });
}

export interface TrafficOptions {
  path: string;
  /** Whether to go on at this time since the start. */
  isOngoing(elapsedMs: number): boolean;
  intervalMs: number;
  /** Instances of which each gets the same share of half of the requests; the others share the other half with them. */
  busyInstances: number;
}

/** Sends requests at a steady rate and resolves with all responses. */
export async function sendTraffic(
  gateways: readonly TestGateway[],
  { path, isOngoing, intervalMs, busyInstances }: TrafficOptions,
): Promise<CallerResponse[]> {
  const startedAtMs = performance.now();
  const responses: Promise<CallerResponse>[] = [];
  for (let index = 0; isOngoing(performance.now() - startedAtMs); index += 1) {
    const choices = index % 2 === 0 ? Math.min(busyInstances, gateways.length) : gateways.length;
    const target = gateways[Math.floor(index / 2) % choices];
    if (target !== undefined) responses.push(sendTo(target, path));
    await sleep(intervalMs);
  }
  return await Promise.all(responses);
}
