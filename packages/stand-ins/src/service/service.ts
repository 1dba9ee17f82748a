import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseFaults } from '../http/faults';
import { HttpError, HttpHost, parseUrl, readHeader, readJson, sendJson } from '../http/host';
import type { ListenOptions, StandIn } from '../http/host';
import { LoadReports } from '../http/load-reports';

export interface ServiceOptions extends ListenOptions {
  /**
   * Name of the service process, sent in the `X-Server-Id` header.
   * @default 'service'
   */
  id?: string;
  /**
   * Calls that the service declares to handle at the same time; only reported in `/load`.
   * @default 16
   */
  slots?: number;
  /**
   * Time that each call takes, in milliseconds.
   * @default 5
   */
  workMs?: number;
  /**
   * Age of what `/load` reports, in milliseconds, at most 60,000.
   * @default 0
   */
  loadLagMs?: number;
  /**
   * Called by the crash faults. The default resets all connections and stops listening.
   */
  crash?: () => void;
}

/** Faults of the plain service. */
export interface ServiceFaults {
  /** Answers are sent this many milliseconds later; an order takes effect before the delay. */
  delayMs: number;
  /** Crashes now. */
  crash: boolean;
  /** Crashes after the next order took effect and before its answer. */
  crashAfterOrder: boolean;
  /** Connections that are open now stop sending and reading; new ones work. */
  silent: boolean;
  /** New calls are refused with 503 and `X-Not-Run: true`. */
  refuse: boolean;
  /** New calls are refused, with `X-Draining: true` as well; accepted ones are finished. */
  draining: boolean;
  /** Age of what `/load` reports, in milliseconds, at most 60,000. */
  loadLagMs: number;
}

/** One run of an order. The service itself does not remove duplicates. */
export interface OrderRun {
  orderNumber: number;
  idempotencyKey: string | undefined;
  requestId: string | undefined;
  item: string;
  quantity: number;
  /** Unix time in milliseconds. */
  ranAtMs: number;
}

/** Every order that ran, and how often for each key and request id. */
export interface OrderLog {
  id: string;
  orders: OrderRun[];
  runsByKey: Record<string, number>;
  runsByRequestId: Record<string, number>;
}

/** A plain service with orders (non-idempotent) and a stock lookup (idempotent). */
export interface ServiceStandIn extends StandIn {
  readonly id: string;
  applyFaults(update: Partial<ServiceFaults>): void;
  getOrderLog(): OrderLog;
}

/** Starts a plain service. Rejects when the port is taken. */
export async function createService(options: ServiceOptions = {}): Promise<ServiceStandIn> {
  const service = new OrderService(options);
  await service.host.start(options);
  return service;
}

/** The stock of an item, 0 to 999: a function of its name, so that a test can verify an answer. */
export function computeStock(item: string): number {
  return createHash('sha256').update(item).digest().readUInt32BE(0) % 1000;
}

const DEFAULT_SLOTS = 16;
const DEFAULT_WORK_MS = 5;

class OrderService implements ServiceStandIn {
  readonly id: string;
  readonly host = new HttpHost((request, response) => this.handleRequest(request, response));
  private readonly orders: OrderRun[] = [];
  private readonly reports = new LoadReports();
  private running = 0;
  private readonly faults: ServiceFaults = {
    delayMs: 0,
    crash: false,
    crashAfterOrder: false,
    silent: false,
    refuse: false,
    draining: false,
    loadLagMs: 0,
  };

  constructor(private readonly options: ServiceOptions) {
    this.id = options.id ?? 'service';
    this.faults.loadLagMs = options.loadLagMs ?? 0;
    this.recordLoad();
  }

  get address(): string {
    return this.host.address;
  }

  get port(): number {
    return this.host.port;
  }

  applyFaults(update: Partial<ServiceFaults>): void {
    const { silent, crash, ...kept } = update;
    Object.assign(this.faults, kept);
    this.recordLoad();
    if (silent) this.host.setSilent();
    if (crash) this.endByCrash();
  }

  getOrderLog(): OrderLog {
    return {
      id: this.id,
      orders: [...this.orders],
      runsByKey: countRuns(this.orders.map((order) => order.idempotencyKey)),
      runsByRequestId: countRuns(this.orders.map((order) => order.requestId)),
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.host[Symbol.asyncDispose]();
  }

  private endByCrash(): void {
    if (this.options.crash) this.options.crash();
    else this.host.discardConnections();
  }

  private recordLoad(): void {
    this.reports.recordReport({
      running: this.running,
      waiting: 0,
      slots: this.options.slots ?? DEFAULT_SLOTS,
      kvUsed: 0,
      draining: this.faults.draining,
    });
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.setHeader('X-Server-Id', this.id);
    const requestId = readHeader(request, 'x-request-id');
    if (requestId !== undefined) response.setHeader('X-Request-Id', requestId);
    const path = parseUrl(request).pathname;
    const call = `${request.method ?? ''} ${path}`;
    if (call === 'POST /orders') {
      await this.runCall(() => this.handleOrder(request, response));
    } else if (request.method === 'GET' && path.startsWith('/stock/')) {
      const item = decodeURIComponent(path.slice('/stock/'.length));
      await this.runCall(() => this.handleStock(response, item));
    } else if (call === 'GET /load') {
      sendJson(response, 200, this.reports.getReport(this.faults.loadLagMs));
    } else if (call === 'GET /admin/log') {
      sendJson(response, 200, this.getOrderLog());
    } else if (call === 'GET /admin/faults') {
      sendJson(response, 200, this.faults);
    } else if (call === 'POST /admin/faults') {
      await this.handleFaults(request, response);
    } else {
      throw new HttpError(404, 'not_found', `no route ${call}`);
    }
  }

  private async handleFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { silent, crash, ...kept } = parseFaults(await readJson(request), this.faults);
    this.applyFaults(kept);
    if (silent) this.host.setSilent(request.socket);
    sendJson(response, 200, this.faults);
    if (crash) response.once('close', () => this.endByCrash());
  }

  /** Counts the call as running, or throws the refusal as `HttpError` 503. */
  private async runCall(handleCall: () => Promise<void>): Promise<void> {
    const refused: Record<string, string> = { 'X-Not-Run': 'true' };
    if (this.faults.draining) {
      const headers = { ...refused, 'X-Draining': 'true' };
      throw new HttpError(503, 'draining', 'the service is draining', headers);
    }
    if (this.faults.refuse) {
      throw new HttpError(503, 'refused', 'the service refuses new calls', refused);
    }
    this.running += 1;
    this.recordLoad();
    try {
      await handleCall();
    } finally {
      this.running -= 1;
      this.recordLoad();
    }
  }

  private async handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { item, quantity } = await readJson(request);
    if (typeof item !== 'string' || !Number.isInteger(quantity) || Number(quantity) < 1) {
      const headers = { 'X-Not-Run': 'true' };
      throw new HttpError(400, 'bad_order', 'an order needs item and quantity', headers);
    }
    const order: OrderRun = {
      orderNumber: this.orders.length + 1,
      idempotencyKey: readHeader(request, 'idempotency-key'),
      requestId: readHeader(request, 'x-request-id'),
      item,
      quantity: Number(quantity),
      ranAtMs: Date.now(),
    };
    this.orders.push(order);
    if (this.faults.crashAfterOrder) {
      this.faults.crashAfterOrder = false;
      this.endByCrash();
      return;
    }
    await this.waitForWork();
    sendJson(response, 201, { ...order, serverId: this.id });
  }

  private async handleStock(response: ServerResponse, item: string): Promise<void> {
    await this.waitForWork();
    sendJson(response, 200, { item, quantity: computeStock(item) });
  }

  private async waitForWork(): Promise<void> {
    await sleep((this.options.workMs ?? DEFAULT_WORK_MS) + this.faults.delayMs);
  }
}

function countRuns(names: readonly (string | undefined)[]): Record<string, number> {
  const runs: Record<string, number> = {};
  for (const name of names) {
    if (name !== undefined) runs[name] = (runs[name] ?? 0) + 1;
  }
  return runs;
}
