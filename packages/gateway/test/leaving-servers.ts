import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { BackendServer, RouteBundle } from '../src';
import type { FakeStore } from './fake-store';
import { makeBundle, makeServer, sendRequest } from './gateway-fixture';
import type { CallerResponse, TestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawBackend } from './raw-backend';

/** Answer in which a server says that it leaves. */
export type LeavingAnswer =
  | 'plain'
  /** The head arrives at once, the last event after `LONG_STREAM_MS`. */
  | 'long-stream'
  | 'refusal'
  | 'server-error'
  | 'unsigned'
  | 'other-request-id'
  /** Status 421, sent by another server under the address. */
  | 'misdirected';

/** In which answers a server says that it leaves. `first`: only in its first answer to each instance. */
export interface LeavingNotice {
  answer: LeavingAnswer;
  in: 'first' | 'all';
  /**
   * Values of the header, separated by commas; each is sent in a header of its own.
   * @default '1'
   */
  value?: string;
}

/** What a server answers to requests in which it does not say that it leaves. */
export type UsualAnswer =
  | 'plain'
  | 'stream'
  /** Breaks a stream after some events, unless it is resumed. */
  | 'breaking-stream';

/** A request that reached a server. */
export interface Arrival {
  serverId: string;
  /** Number of the server's process, from 1. */
  processNumber: number;
  instanceId: string;
  sentAtMs: number;
  arrivedAtMs: number;
  isLate: boolean;
}

/** A caller's request and its response. */
export interface SentRequest {
  instanceId: string;
  sentAtMs: number;
  response: CallerResponse;
}

/** One process of a server. A process that has been replaced goes on answering. */
interface ServerProcess {
  processNumber: number;
  notice: LeavingNotice | undefined;
  /** Time at which this process first told an instance that it leaves, by instance. */
  toldAtMs: Map<string, number>;
  backend: RawBackend;
}

/** Time after which a request must not reach a server that has told the instance that it leaves, in milliseconds. */
export const DRAIN_BOUND_MS = 500;
/** Duration of a stream whose head says that the server leaves, in milliseconds. */
export const LONG_STREAM_MS = 4_000;
const EVENT_INTERVAL_MS = 250;
const SHORT_STREAM_EVENTS = 4;
/**
 * Time that plain answers take, in milliseconds. Servers with lower indices are faster, so that they are preferred, and with
 * one slot each the load is spread.
 */
const BASE_ANSWER_MS = 15;
const ANSWER_STEP_MS = 5;
const MAX_ANSWER_MS = 40;
/** Header fields in which the callers of a test name the instance and the time of sending. */
const INSTANCE_FIELD = 'test-instance';
const SENT_AT_FIELD = 'test-sent-at';

/** Servers that say in their answers that they leave, and count the requests that reach them afterwards. */
export class LeavingServers implements AsyncDisposable {
  readonly arrivals: Arrival[] = [];
  private readonly processes = new Map<string, ServerProcess>();
  private readonly backends: RawBackend[] = [];

  constructor(
    private readonly store: FakeStore,
    private readonly service: string,
    private readonly usualAnswer: UsualAnswer = 'plain',
  ) {}

  /** Starts servers `server-0` and so on and puts their entries. */
  async startServers(count: number, overrides?: (index: number) => Partial<BackendServer>) {
    for (let index = 0; index < count; index += 1) {
      await this.startProcess(`server-${index}`, overrides?.(index));
    }
  }

  /** Starts a process of a server under a new address and puts its entry, which replaces that of the process before. */
  async startProcess(serverId: string, overrides: Partial<BackendServer> = {}): Promise<void> {
    const process: Omit<ServerProcess, 'backend'> = {
      processNumber: (this.processes.get(serverId)?.processNumber ?? 0) + 1,
      notice: undefined,
      toldAtMs: new Map(),
    };
    const backend = await startRawBackend((socket, request) => {
      this.#handleRequest(serverId, process, socket, request);
    });
    this.backends.push(backend);
    this.processes.set(serverId, Object.assign(process, { backend }));
    this.putEntry(serverId, overrides);
  }

  /** Starts a process of a server under the address that the process before had, and puts its entry. */
  startProcessAtSameAddress(serverId: string, overrides: Partial<BackendServer> = {}): void {
    const process = this.#getProcess(serverId);
    process.processNumber += 1;
    process.notice = undefined;
    process.toldAtMs = new Map();
    this.putEntry(serverId, overrides);
  }

  putEntry(serverId: string, overrides: Partial<BackendServer> = {}): void {
    const { port } = this.#getProcess(serverId).backend;
    const entry = { ...makeServer(serverId, this.service, port), slots: 1, ...overrides };
    this.store.put('servers', serverId, entry);
  }

  removeEntry(serverId: string): void {
    this.store.remove('servers', serverId);
  }

  /** Lets servers say from now on that they leave. */
  announceLeaving(serverIds: readonly string[], notice: LeavingNotice): void {
    for (const serverId of serverIds) this.#getProcess(serverId).notice = notice;
  }

  countLate(): number {
    return this.arrivals.filter(({ isLate }) => isLate).length;
  }

  /** Instances that the server's present process has told that it leaves. */
  countTold(serverId: string): number {
    return this.#getProcess(serverId).toldAtMs.size;
  }

  /** Requests that reached the server's process later than a time. */
  countArrivals(serverId: string, fromMs = 0, processNumber?: number): number {
    return this.arrivals.filter(
      (arrival) =>
        arrival.serverId === serverId &&
        arrival.arrivedAtMs >= fromMs &&
        (processNumber === undefined || arrival.processNumber === processNumber),
    ).length;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.backends.map((backend) => backend[Symbol.asyncDispose]()));
  }

  #getProcess(serverId: string): ServerProcess {
    const process = this.processes.get(serverId);
    if (process === undefined) throw new Error(`no server ${serverId}`);
    return process;
  }

  #handleRequest(
    serverId: string,
    process: Omit<ServerProcess, 'backend'>,
    socket: Socket,
    request: string,
  ): void {
    const instanceId = readField(request, INSTANCE_FIELD);
    if (instanceId === undefined) return;
    const sentAtMs = Number(readField(request, SENT_AT_FIELD));
    const { notice, toldAtMs, processNumber } = process;
    const arrivedAtMs = performance.now();
    const isLate = sentAtMs > (toldAtMs.get(instanceId) ?? Infinity) + DRAIN_BOUND_MS;
    this.arrivals.push({
      ...{ serverId, processNumber, instanceId, sentAtMs, arrivedAtMs, isLate },
    });
    const isTold = toldAtMs.has(instanceId);
    if (notice === undefined || (isTold && notice.in === 'first')) {
      setTimeout(() => {
        writeUsualAnswer(socket, request, this.usualAnswer);
      }, computeAnswerMs(serverId));
      return;
    }
    setTimeout(() => {
      if (!toldAtMs.has(instanceId) && isNoticeBinding(notice)) {
        toldAtMs.set(instanceId, performance.now());
      }
      writeLeavingAnswer(socket, request, notice);
    }, computeAnswerMs(serverId));
  }
}

function computeAnswerMs(serverId: string): number {
  const index = Number(serverId.slice(serverId.lastIndexOf('-') + 1));
  return Math.min(MAX_ANSWER_MS, BASE_ANSWER_MS + index * ANSWER_STEP_MS);
}

/** Whether a notice says that the server itself leaves. */
function isNoticeBinding({ answer, value = '1' }: LeavingNotice): boolean {
  return answer !== 'misdirected' && value.split(', ').includes('1');
}

function readField(request: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\\r$`, 'im').exec(request)?.[1];
}

function writeUsualAnswer(socket: Socket, request: string, answer: UsualAnswer): void {
  switch (answer) {
    case 'plain':
      writePlain(socket, '200 OK', 'test-signature: s\r\ntest-attempt: attempt-1\r\n');
      return;
    case 'stream':
      void writeStream(socket, request, { events: SHORT_STREAM_EVENTS, intervalMs: 0 });
      return;
    case 'breaking-stream': {
      const isResumed = readField(request, 'last-event-id') !== undefined;
      void writeStream(socket, request, {
        events: SHORT_STREAM_EVENTS,
        intervalMs: 20,
        breaksAfter: isResumed ? undefined : 2,
      });
      return;
    }
  }
}

function writeLeavingAnswer(
  socket: Socket,
  request: string,
  { answer, value = '1' }: LeavingNotice,
): void {
  const notice = value
    .split(', ')
    .map((text) => `test-leaving: ${text}\r\n`)
    .join('');
  const proof = `${notice}test-signature: s\r\ntest-attempt: attempt-1\r\n`;
  switch (answer) {
    case 'plain':
      writePlain(socket, '200 OK', proof);
      return;
    case 'long-stream': {
      const events = LONG_STREAM_MS / EVENT_INTERVAL_MS;
      void writeStream(socket, request, { events, intervalMs: EVENT_INTERVAL_MS, notice });
      return;
    }
    case 'refusal':
      writePlain(socket, '503 Full', `${proof}test-not-run: 1\r\n`);
      return;
    case 'server-error':
      writePlain(socket, '500 Failed', proof);
      return;
    case 'unsigned':
      writePlain(socket, '200 OK', `${notice}test-attempt: attempt-1\r\n`);
      return;
    case 'other-request-id':
      writePlain(socket, '200 OK', `${notice}test-signature: s\r\ntest-attempt: another\r\n`);
      return;
    case 'misdirected':
      writePlain(socket, '421 Misdirected', `${notice}test-not-run: 1\r\n`);
      return;
  }
}

function writePlain(socket: Socket, status: string, fields: string): void {
  socket.write(`HTTP/1.1 ${status}\r\n${fields}content-length: 2\r\n\r\nok`);
}

interface StreamAnswer {
  events: number;
  intervalMs: number;
  notice?: string;
  /** Number of events after which the connection is reset. */
  breaksAfter?: number | undefined;
}

async function writeStream(
  socket: Socket,
  request: string,
  { events, intervalMs, notice = '', breaksAfter }: StreamAnswer,
): Promise<void> {
  socket.write(
    'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n' +
      `${notice}test-signature: s\r\ntest-attempt: attempt-1\r\n\r\n`,
  );
  const firstId = Number(readField(request, 'last-event-id') ?? 0) + 1;
  for (let id = firstId; id <= events; id += 1) {
    const event = `id: ${id}\ndata: word-${id}\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    if (intervalMs > 0) await sleep(intervalMs);
    if (socket.destroyed) return;
    if (id === breaksAfter) {
      socket.resetAndDestroy();
      return;
    }
  }
  socket.write('0\r\n\r\n');
}

/**
 * Makes a configuration whose streams may last longer than `LONG_STREAM_MS`, and whose requests need no team key, so that they
 * are accepted while the store is away.
 */
export function makeLeavingBundle(): RouteBundle {
  const bundle = makeBundle();
  const routes = bundle.routes.map((route) => ({ ...route, timeoutMs: 8_000, isPublic: true }));
  return { ...bundle, routes };
}

/** Something that happens a time after the start of the traffic. */
export interface TrafficStep {
  afterMs: number;
  run(): void | Promise<void>;
}

export interface TrafficOptions {
  path: string;
  method: 'GET' | 'POST';
  durationMs: number;
  /** Steps in the order of their times. */
  steps: readonly TrafficStep[];
}

const REQUEST_INTERVAL_MS = 21;

/** Sends some 48 requests a second to gateways in turn. Resolves when all have their responses. */
export async function sendTraffic(
  gateways: readonly TestGateway[],
  { path, method, durationMs, steps }: TrafficOptions,
): Promise<SentRequest[]> {
  const startedAtMs = performance.now();
  const pendingSteps = [...steps];
  const sent: Promise<SentRequest>[] = [];
  for (let index = 0; performance.now() < startedAtMs + durationMs; index += 1) {
    while (performance.now() - startedAtMs >= (pendingSteps[0]?.afterMs ?? Infinity)) {
      await pendingSteps.shift()?.run();
    }
    const target = gateways[index % gateways.length];
    if (target !== undefined) sent.push(sendMarkedRequest(target, path, method));
    await sleep(REQUEST_INTERVAL_MS);
  }
  return Promise.all(sent);
}

async function sendMarkedRequest(
  { callerPort, settings: { instanceId } }: TestGateway,
  path: string,
  method: 'GET' | 'POST',
): Promise<SentRequest> {
  const sentAtMs = performance.now();
  const headers = {
    'Test-Remaining': '8000',
    [INSTANCE_FIELD]: instanceId,
    [SENT_AT_FIELD]: String(sentAtMs),
  };
  return {
    instanceId,
    sentAtMs,
    response: await sendRequest(callerPort, path, { method, headers }),
  };
}

/** Whether a response is a 200 that arrived completely. */
export function isServed({ response }: SentRequest): boolean {
  return response.status === 200 && response.isComplete;
}
