import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ListedInstance } from '@pollendrum/protocol';
import { parseFaults } from '../http/faults';
import {
  HttpError,
  HttpHost,
  parseUrl,
  readBody,
  readHeader,
  readJson,
  sendJson,
} from '../http/host';
import type { ListenOptions, StandIn } from '../http/host';
import { LaggingInstanceList } from './instance-list';
import { ObjectStore } from './object-store';
import type { WriteCondition } from './object-store';
import { PendingWatches } from './watches';

export const MAX_OBJECT_BYTES = 1024 * 1024;
const MAX_HOLD_MS = 60_000;
const INSTANCES_TOPIC = 'instances';
const OBJECT_TOPIC_PREFIX = 'object:';

export type PlatformOptions = ListenOptions;

/** Faults of the platform's service. */
export interface PlatformFaults {
  /** All calls are answered with 503, pending watches included. */
  outage: boolean;
  /** Each call waits this long, in milliseconds, before it is processed. */
  delayMs: number;
  /** The next writes that take effect lose their response: the connection is reset. */
  loseConfirmations: number;
  /** Changes of the instance list become visible this many milliseconds later. */
  listLagMs: number;
  /** The next wake-ups of watches are suppressed until the hold ends. */
  dropWatchEvents: number;
}

/** Calls since the start. A pending watch counts as one call. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  watches: number;
}

/** The platform's service: objects and the instance list, in memory. */
export interface PlatformStandIn extends StandIn {
  putInstance(instance: ListedInstance): void;
  removeInstance(id: string): void;
  applyFaults(update: Partial<PlatformFaults>): void;
  getCounts(): PlatformCounts;
}

/** Starts the platform's service. Rejects when the port is taken. */
export async function createPlatform(options: PlatformOptions = {}): Promise<PlatformStandIn> {
  const platform = new PlatformService();
  await platform.host.start(options);
  return platform;
}

class PlatformService implements PlatformStandIn {
  readonly host = new HttpHost((request, response) => this.handleRequest(request, response));
  private readonly objects = new ObjectStore();
  private readonly watches = new PendingWatches();
  private readonly list = new LaggingInstanceList(() => {
    this.watches.notifyChanged(INSTANCES_TOPIC);
  });
  private readonly counts: PlatformCounts = { reads: 0, writes: 0, watches: 0 };
  private readonly faults = { outage: false, delayMs: 0, loseConfirmations: 0, listLagMs: 0 };

  get address(): string {
    return this.host.address;
  }

  get port(): number {
    return this.host.port;
  }

  putInstance(instance: ListedInstance): void {
    this.list.putInstance(instance, this.faults.listLagMs);
  }

  removeInstance(id: string): void {
    this.list.removeInstance(id, this.faults.listLagMs);
  }

  applyFaults(update: Partial<PlatformFaults>): void {
    const { dropWatchEvents, ...others } = update;
    Object.assign(this.faults, others);
    if (dropWatchEvents !== undefined) this.watches.setDrops(dropWatchEvents);
    if (this.faults.outage) this.watches.stopAll();
  }

  getCounts(): PlatformCounts {
    return { ...this.counts };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.watches.stopAll();
    this.list[Symbol.dispose]();
    await this.host[Symbol.asyncDispose]();
  }

  private getFaults(): PlatformFaults {
    return { ...this.faults, dropWatchEvents: this.watches.getDropsLeft() };
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = parseUrl(request);
    if (url.pathname.startsWith('/admin/')) {
      await this.handleAdmin(request, response, url);
      return;
    }
    this.countCall(request, url);
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    this.checkAvailable();
    if (url.pathname === '/instances' && request.method === 'GET') {
      await this.handleInstances(response, url);
    } else if (url.pathname === '/objects' && request.method === 'GET') {
      const prefix = url.searchParams.get('prefix') ?? '';
      sendJson(response, 200, { objects: this.objects.listObjects(prefix) });
    } else if (url.pathname.startsWith('/objects/')) {
      const key = decodeURIComponent(url.pathname.slice('/objects/'.length));
      await this.handleObject(request, response, url, key);
    } else {
      throw new HttpError(404, 'not_found', `no route ${url.pathname}`);
    }
  }

  private countCall(request: IncomingMessage, url: URL): void {
    if (request.method !== 'GET') this.counts.writes += 1;
    else if (url.searchParams.has('after')) this.counts.watches += 1;
    else this.counts.reads += 1;
  }

  private checkAvailable(): void {
    if (this.faults.outage) throw new HttpError(503, 'outage', 'the platform is unavailable');
  }

  private async handleInstances(response: ServerResponse, url: URL): Promise<void> {
    const getVersion = () => this.list.getList().version;
    if (await this.waitForNewer(response, url, INSTANCES_TOPIC, getVersion)) {
      const list = this.list.getList();
      sendJson(response, 200, list, { ETag: toETag(list.version) });
    }
  }

  private async handleObject(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    key: string,
  ): Promise<void> {
    switch (request.method) {
      case 'GET':
        await this.handleGet(response, url, key);
        return;
      case 'PUT':
        await this.handlePut(request, response, key);
        return;
      case 'DELETE':
        this.handleDelete(request, response, key);
        return;
      default:
        throw new HttpError(405, 'bad_method', 'objects accept GET, PUT and DELETE');
    }
  }

  private async handleGet(response: ServerResponse, url: URL, key: string): Promise<void> {
    const topic = OBJECT_TOPIC_PREFIX + key;
    const getVersion = () => this.objects.getLastVersion(key);
    if (!(await this.waitForNewer(response, url, topic, getVersion))) return;
    const object = this.objects.getObject(key);
    if (!object) {
      const version = this.objects.getLastVersion(key);
      const headers: Record<string, string> = version > 0 ? { ETag: toETag(version) } : {};
      throw new HttpError(404, 'not_found', `no object ${key}`, headers);
    }
    response.writeHead(200, {
      'Content-Type': object.contentType,
      'Content-Length': object.body.length,
      ETag: toETag(object.version),
    });
    response.end(object.body);
  }

  private async handlePut(
    request: IncomingMessage,
    response: ServerResponse,
    key: string,
  ): Promise<void> {
    const condition = parseCondition(request);
    const body = await readBody(request, MAX_OBJECT_BYTES);
    const contentType = readHeader(request, 'content-type') ?? 'application/octet-stream';
    const version = this.objects.putObject(key, condition, contentType, body);
    this.watches.notifyChanged(OBJECT_TOPIC_PREFIX + key);
    if (this.discardConfirmation(request)) return;
    const status = condition.kind === 'absent' ? 201 : 200;
    sendJson(response, status, { key, version }, { ETag: toETag(version) });
  }

  private handleDelete(request: IncomingMessage, response: ServerResponse, key: string): void {
    this.objects.removeObject(key, parseCondition(request));
    this.watches.notifyChanged(OBJECT_TOPIC_PREFIX + key);
    if (this.discardConfirmation(request)) return;
    response.writeHead(204).end();
  }

  /** True when the confirmation of a write that took effect was dropped with its connection. */
  private discardConfirmation(request: IncomingMessage): boolean {
    if (this.faults.loseConfirmations === 0) return false;
    this.faults.loseConfirmations -= 1;
    request.socket.destroy();
    return true;
  }

  /**
   * Holds a watch until the version is higher than `after`. Returns false when the response has been
   * sent (304) or the caller has gone. Throws `HttpError` 503 when an outage begins.
   */
  private async waitForNewer(
    response: ServerResponse,
    url: URL,
    topic: string,
    getVersion: () => number,
  ): Promise<boolean> {
    const after = parseCount(url, 'after');
    if (after === undefined || getVersion() > after) return true;
    const holdMs = Math.min(parseCount(url, 'holdMs') ?? 0, MAX_HOLD_MS);
    const abort = new AbortController();
    response.once('close', () => {
      abort.abort();
    });
    await this.watches.waitForChange(topic, holdMs, abort.signal);
    if (response.destroyed) return false;
    this.checkAvailable();
    if (getVersion() > after) return true;
    response.writeHead(304, { ETag: toETag(getVersion()) }).end();
    return false;
  }

  private async handleAdmin(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const call = `${request.method ?? ''} ${url.pathname}`;
    if (call === 'GET /admin/counts') {
      sendJson(response, 200, this.counts);
    } else if (call === 'GET /admin/faults') {
      sendJson(response, 200, this.getFaults());
    } else if (call === 'POST /admin/faults') {
      this.applyFaults(parseFaults(await readJson(request), this.getFaults()));
      sendJson(response, 200, this.getFaults());
    } else if (url.pathname.startsWith('/admin/instances/')) {
      await this.handleAdminInstance(request, response, url);
    } else {
      throw new HttpError(404, 'not_found', `no route ${call}`);
    }
  }

  private async handleAdminInstance(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const id = decodeURIComponent(url.pathname.slice('/admin/instances/'.length));
    if (request.method === 'DELETE') {
      this.removeInstance(id);
    } else if (request.method === 'PUT') {
      this.putInstance(parseInstance({ ...(await readJson(request)), id }));
    } else {
      throw new HttpError(405, 'bad_method', 'instances accept PUT and DELETE');
    }
    response.writeHead(204).end();
  }
}

function toETag(version: number): string {
  return `"${version.toString()}"`;
}

/** Throws `HttpError` 428 for a write without a condition and 400 for one that cannot be read. */
function parseCondition(request: IncomingMessage): WriteCondition {
  const ifMatch = readHeader(request, 'if-match');
  const ifNoneMatch = readHeader(request, 'if-none-match');
  if (ifMatch === undefined && ifNoneMatch === undefined) {
    throw new HttpError(428, 'condition_required', 'a write needs If-Match or If-None-Match: *');
  }
  if (ifMatch === undefined && ifNoneMatch === '*') return { kind: 'absent' };
  const version = /^"(\d+)"$/.exec(ifMatch ?? '')?.[1];
  if (version === undefined || ifNoneMatch !== undefined) {
    throw new HttpError(400, 'bad_condition', 'expected If-Match: "VERSION" or If-None-Match: *');
  }
  return { kind: 'version', version: Number(version) };
}

function parseCount(url: URL, name: string): number | undefined {
  const text = url.searchParams.get(name);
  if (text === null) return undefined;
  if (!/^\d{1,15}$/.test(text)) throw new HttpError(400, 'bad_query', `${name} is not a count`);
  return Number(text);
}

/** Throws `HttpError` 400 that names the fields that are missing or have a bad value. */
function parseInstance(entry: Record<string, unknown>): ListedInstance {
  const isName = (value: unknown) => typeof value === 'string' && value !== '';
  const isPort = (value: unknown) => Number.isInteger(value) && Number(value) >= 0;
  const checks: Record<string, boolean> = {
    id: isName(entry.id),
    role: ['router', 'engine', 'service'].includes(String(entry.role)),
    address: isName(entry.address),
    port: isPort(entry.port),
    peerPort: entry.peerPort === undefined || isPort(entry.peerPort),
    failureDomain: isName(entry.failureDomain),
    region: isName(entry.region),
    state: ['live', 'leaving'].includes(String(entry.state)),
    pool: entry.pool === undefined || isName(entry.pool),
    slots: entry.slots === undefined || (isPort(entry.slots) && Number(entry.slots) > 0),
  };
  const badFields = Object.keys({ ...checks, ...entry }).filter((field) => !checks[field]);
  if (badFields.length > 0) {
    throw new HttpError(400, 'bad_instance', `bad fields: ${badFields.join(', ')}`);
  }
  return entry as unknown as ListedInstance;
}
