// Stand-ins for the platform's store, backend servers and the platform itself, and a launcher for the gateway.
// All of them listen on the loopback interface.
import { spawn } from 'node:child_process';
import { createHash, randomInt } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as sendHttp } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export { sleep };

export const LOOPBACK = '127.0.0.1';
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Exit codes of a case. */
export const BROKEN = 1;
export const HELD = 0;
export const NOT_RUN = 2;

const FOLDER = dirname(fileURLToPath(import.meta.url));
const ROOT = resolve(FOLDER, '../..');

/** Names of the platform, which only this table and `platform/` hold, by the names that the stand-ins use. */
const NAMES = Object.fromEntries(
  readFileSync(join(FOLDER, 'platform-names.txt'), 'utf8')
    .trim()
    .split('\n')
    .map((line) => line.split(' ')),
);

/** Figures of `sites/kfl-tumble.toml` and of the settings example. */
export const BOUNDS = {
  ContactMs: 3000,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RevokeMs: 5000,
  StrictRevoke: true,
  RetryRatio: 0.2,
  RetryWindowS: 10,
  RetrySlack: 52,
};
export const HOST = 'orders.example';
export const KEY = 'key-of-the-tenant';
export const TENANT = 'tenant-1';

/** Milliseconds since the start of the case. */
export function getTimeMs() {
  return performance.now();
}

/** Collects the lines of record.txt: what was sent, answered and run. */
export class Recorder {
  lines = [];

  constructor(caseUrl) {
    this.path = join(dirname(fileURLToPath(caseUrl)), 'record.txt');
  }

  add(text) {
    this.lines.push(`${(getTimeMs() / 1000).toFixed(3).padStart(9)} s  ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

// Below the range from which Linux takes the ports of outgoing connections, so that none of these has the port when a
// server or a gateway starts there, or starts there again.
const FIRST_PORT = 15_000;
const END_PORT = 32_000;
const takenPorts = new Set();

/** Finds a port that is free for TCP and UDP, and that this process has not handed out before. */
async function findFreePort() {
  for (;;) {
    const port = randomInt(FIRST_PORT, END_PORT);
    if (takenPorts.has(port) || !(await isFreeTcpPort(port)) || !(await isFreeUdpPort(port))) {
      continue;
    }
    takenPorts.add(port);
    return port;
  }
}

function isFreeTcpPort(port) {
  return new Promise((done) => {
    const server = createTcpServer();
    server.once('error', () => done(false));
    server.listen(port, LOOPBACK, () => server.close(() => done(true)));
  });
}

function isFreeUdpPort(port) {
  return new Promise((done) => {
    const socket = createSocket('udp4');
    socket.once('error', () => socket.close(() => done(false)));
    socket.bind(port, LOOPBACK, () => socket.close(() => done(true)));
  });
}

/** Listens at a port; rejects if that fails. */
async function listen(server, port) {
  await new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(port, LOOPBACK, done);
  });
}

function readBody(message) {
  return new Promise((done, fail) => {
    const chunks = [];
    message.on('data', (chunk) => chunks.push(chunk));
    message.on('end', () => done(Buffer.concat(chunks)));
    message.on('error', fail);
  });
}

/** Times at which a lost SYN is sent again, in milliseconds after the first one. */
const SYN_RETRY_MS = [1_000, 3_000, 7_000];

/**
 * The path between a machine and another party. While it is cut, nothing passes in either direction and nobody is told.
 * Afterwards what both ends still hold passes, and a channel that was opened meanwhile comes up when its SYN is sent again.
 */
export class Path {
  isCut = false;
  #channels = new Set();

  constructor(targetAddress) {
    const [host, port] = targetAddress.split(':');
    this.target = { host, port: Number(port) };
  }

  async start() {
    this.server = createTcpServer({ pauseOnConnect: true }, (near) => this.#open(near));
    const port = await findFreePort();
    await listen(this.server, port);
    this.address = `${LOOPBACK}:${port}`;
  }

  cut() {
    this.isCut = true;
    for (const { near, far } of this.#channels) {
      near.pause();
      far?.pause();
    }
  }

  heal() {
    this.isCut = false;
    for (const channel of this.#channels) this.#resume(channel);
  }

  stop() {
    this.server.close();
    for (const { near, far } of this.#channels) {
      near.destroy();
      far?.destroy();
    }
  }

  #open(near) {
    const channel = { near, far: undefined, openedAtMs: getTimeMs(), wasOpenedInCut: this.isCut };
    this.#channels.add(channel);
    near.on('error', () => undefined);
    near.on('close', () => {
      this.#channels.delete(channel);
      // The far end learns of it only over a sound path.
      if (!this.isCut) channel.far?.destroy();
    });
    if (!this.isCut) this.#resume(channel);
  }

  #resume(channel) {
    if (channel.far !== undefined) {
      channel.near.resume();
      channel.far.resume();
      return;
    }
    const ageMs = getTimeMs() - channel.openedAtMs;
    const retryMs = channel.wasOpenedInCut ? SYN_RETRY_MS.find((ms) => ms >= ageMs) : ageMs;
    setTimeout(() => this.#connect(channel), (retryMs ?? ageMs) - ageMs);
  }

  #connect(channel) {
    const { near } = channel;
    if (this.isCut || near.destroyed || channel.far !== undefined) return;
    const far = connect(this.target);
    channel.far = far;
    far.on('error', () => undefined);
    far.on('close', () => {
      if (!this.isCut) near.destroy();
    });
    near.on('data', (chunk) => far.write(chunk));
    far.on('data', (chunk) => near.write(chunk));
    near.on('end', () => far.end());
    far.on('end', () => near.end());
    near.resume();
  }
}

/** The platform's store: objects by kind and name, conditional writes, lists and watches. */
export class Store {
  #revision = 10;
  #objects = new Map();
  #events = [];
  #waiting = new Set();

  async start() {
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch((error) => response.destroy(error));
    });
    const port = await findFreePort();
    await listen(this.server, port);
    this.address = `${LOOPBACK}:${port}`;
  }

  /** Writes an object as an operator or a server does; the return is the acknowledgement. */
  put(kind, name, spec, unreadableSpec) {
    const known = this.#objects.get(kind)?.get(name);
    if (known !== undefined && JSON.stringify(known.Spec) === JSON.stringify(spec)) return known;
    this.#revision += 1;
    const object = {
      Metadata: {
        Name: name,
        Revision: this.#revision,
        Created: known?.Metadata.Created ?? this.#revision,
        Finalizers: [],
        DeletionPending: false,
      },
      Spec: spec,
      Status: null,
      unreadableSpec,
    };
    if (!this.#objects.has(kind)) this.#objects.set(kind, new Map());
    this.#objects.get(kind).set(name, object);
    this.#recordEvent(kind, object, false);
    return object;
  }

  /** Stores an entry of another writer whose bytes can't be read; `text` stands where other entries have their `Spec`. */
  putUnreadable(kind, name, text) {
    this.put(kind, name, {}, text);
  }

  /** Removes an object; false if there is none. */
  remove(kind, name) {
    const object = this.#objects.get(kind)?.get(name);
    if (object === undefined) return false;
    this.#objects.get(kind).delete(name);
    this.#revision += 1;
    const Metadata = { ...object.Metadata, Revision: this.#revision };
    this.#recordEvent(kind, { ...object, Metadata }, true);
    return true;
  }

  /** Closes the connections of the watches of a kind that have waited for `minWaitedMs`; returns their number. */
  cutWatches(kind, minWaitedMs = 0) {
    let count = 0;
    for (const watch of this.#waiting) {
      if (watch.kind !== kind || getTimeMs() - watch.sinceMs < minWaitedMs) continue;
      this.#waiting.delete(watch);
      clearTimeout(watch.timer);
      watch.response.socket?.destroy();
      count += 1;
    }
    return count;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  #recordEvent(kind, object, isDeleted) {
    this.#events.push({ kind, revision: this.#revision, object, isDeleted });
    for (const watch of [...this.#waiting]) {
      if (watch.kind === kind) this.#answerWatch(watch);
    }
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, prefix, kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const text = (await readBody(request)).toString();
    const body = text === '' ? undefined : JSON.parse(text);
    if (prefix !== 'objects' || kind === undefined) return this.#reply(response, 404, {});
    switch (request.method) {
      case 'GET':
        return this.#handleGet(kind, name, url.searchParams, response);
      case 'POST': {
        const known = this.#objects.get(kind)?.get(body.Metadata.Name);
        if (known !== undefined) return this.#reply(response, 409, known);
        return this.#reply(response, 201, this.put(kind, body.Metadata.Name, body.Spec));
      }
      case 'PUT': {
        const known = this.#objects.get(kind)?.get(name);
        if (known === undefined) return this.#reply(response, 404, {});
        const expected = body.Metadata?.Revision;
        if (expected !== undefined && expected !== known.Metadata.Revision) {
          return this.#reply(response, 409, known);
        }
        return this.#reply(response, 200, this.put(kind, name, body.Spec));
      }
      case 'DELETE':
        return this.#reply(response, this.remove(kind, name) ? 200 : 404, {});
      default:
        return this.#reply(response, 405, {});
    }
  }

  #handleGet(kind, name, query, response) {
    const objects = this.#objects.get(kind) ?? new Map();
    if (name !== undefined) {
      const object = objects.get(name);
      return this.#reply(response, object === undefined ? 404 : 200, object ?? {});
    }
    const watchAfter = query.get('Watch');
    if (watchAfter === null) {
      const Entries = [...objects.values()];
      return this.#reply(response, 200, {
        Entries,
        [NAMES.hasMore]: false,
        [NAMES.asOf]: this.#revision,
      });
    }
    const watch = { kind, after: Number(watchAfter), response, sinceMs: getTimeMs() };
    if (this.#events.some((event) => event.kind === kind && event.revision > watch.after)) {
      return this.#answerWatch(watch);
    }
    watch.timer = setTimeout(() => this.#answerWatch(watch), Number(query.get('WaitMs')));
    this.#waiting.add(watch);
    response.once('close', () => {
      clearTimeout(watch.timer);
      this.#waiting.delete(watch);
    });
    return undefined;
  }

  #answerWatch(watch) {
    clearTimeout(watch.timer);
    this.#waiting.delete(watch);
    const events = this.#events
      .filter((event) => event.kind === watch.kind && event.revision > watch.after)
      .map(({ object, isDeleted }) => ({ Deleted: isDeleted, Object: object }));
    this.#reply(watch.response, 200, { events, [NAMES.asOf]: this.#revision });
  }

  #reply(response, status, body) {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    const unreadable = [];
    const text = JSON.stringify(body, (key, value) => {
      if (value?.unreadableSpec === undefined) return value;
      const { unreadableSpec, ...rest } = value;
      unreadable.push(unreadableSpec);
      return { ...rest, Spec: `unreadable ${unreadable.length - 1}` };
    });
    response.end(text.replace(/"unreadable (\d+)"/g, (_, index) => unreadable[Number(index)]));
  }
}

/**
 * A backend server. `respond` gets the request, its body and the response, whose id and signature are set, and writes the
 * answer. `runs` lists what the server has run.
 */
export class BackendServer {
  runs = [];
  sockets = new Set();

  constructor({ id, service, recorder, respond, port }) {
    Object.assign(this, { id, service, recorder, respond, port });
    this.bornMs = Date.now();
  }

  async start() {
    this.server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.port ??= await findFreePort();
    await listen(this.server, this.port);
  }

  /** The entry that the server writes to the store. */
  makeEntry(state = 'ready') {
    return {
      Service: this.service,
      Address: `${LOOPBACK}:${this.port}`,
      Zone: 'zone-a',
      Version: 'v1',
      Capacity: 64,
      State: state,
      [NAMES.warmupLeftMs]: 0,
      Sequence: 1,
      born: this.bornMs,
    };
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async #handle(request, response) {
    const attemptId = request.headers['x-attempt-id'];
    const arrivedAtMs = getTimeMs();
    const body = await readBody(request);
    response.sendDate = false;
    response.setHeader('x-attempt-id', attemptId ?? '');
    if (request.headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'x-not-executed': '1' }).end();
      return;
    }
    response.setHeader('x-server-stamp', `${this.id}.${this.runs.length}`);
    const run = {
      serverId: this.id,
      attemptId,
      arrivedAtMs,
      method: request.method,
      path: request.url,
      tenant: request.headers['x-tenant'],
      bodyHash: hashBytes(body),
    };
    this.runs.push(run);
    this.recorder.add(`run       ${attemptId} at ${this.id}`);
    await this.respond(request, body, response, run);
  }
}

export function hashBytes(bytes) {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

/** A route of the configuration. */
export function makeRoute(fields) {
  return {
    TimeoutMs: 15_000,
    [NAMES.targetLatencyMs]: 400,
    Priority: 1,
    [NAMES.maxAttempts]: 1,
    Public: false,
    Host: HOST,
    ...Object.fromEntries(
      Object.entries(fields).map(([name, value]) => [NAMES[name] ?? name, value]),
    ),
  };
}

export function makeConfig(version, routes, services) {
  return {
    Version: version,
    Routes: routes,
    Services: services.map((Name) => ({
      Name,
      HealthPath: '/healthz',
      [NAMES.maxConnections]: 360,
      Protocol: 'h1',
      TlsEnabled: false,
    })),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: TENANT, [NAMES.apiKeys]: [KEY] }],
  };
}

/** Fills in the settings template as the platform does (DEPLOY.md). */
function renderTemplate(text, scope) {
  const find = (path) =>
    path === '.' ? scope['.'] : path.split('.').reduce((value, name) => value?.[name], scope);
  const isPresent = (value) => value !== undefined && value !== null && value !== false;
  return text
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) =>
      isPresent(find(path)) ? renderTemplate(inner, { ...scope, '.': find(path) }) : '',
    )
    .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, inner) =>
      isPresent(find(path)) ? '' : renderTemplate(inner, scope),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path) ?? ''));
}

/** One machine's gateway process, started with the command of the deploy file. */
export class GatewayProcess {
  log = [];
  hasExited = false;

  constructor({ name, storeAddress, recorder }) {
    Object.assign(this, { name, storeAddress, recorder });
  }

  async start() {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.callerPort ??= await findFreePort();
    this.readinessPort ??= await findFreePort();
    this.peerPort ??= await findFreePort();
    this.metricsPort ??= await findFreePort();
    const fields = {
      NodeName: this.name,
      Zone: 'zone-a',
      Ip: LOOPBACK,
      InternalPorts: [this.peerPort, this.metricsPort],
      Listen: {
        Frontend: `${LOOPBACK}:${this.callerPort}`,
        Readiness: `${LOOPBACK}:${this.readinessPort}`,
      },
      Platform: { Address: this.storeAddress },
      Bounds: BOUNDS,
    };
    const template = readFileSync(join(ROOT, 'deploy/settings.template'), 'utf8');
    const settingsPath = join(this.folder, 'settings');
    writeFileSync(settingsPath, renderTemplate(template, fields));
    const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...words] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ');
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, [NAMES.settingsVariable]: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.hasExited = false;
    this.child.stdout.on('data', (chunk) => this.log.push(chunk.toString()));
    this.child.stderr.on('data', (chunk) => this.log.push(chunk.toString()));
    this.exited = new Promise((done) => {
      this.child.once('exit', (code, signal) => {
        this.hasExited = true;
        this.recorder.add(`ended     ${this.name} with ${signal ?? code}`);
        done();
      });
    });
    this.recorder.add(`started   ${this.name}`);
  }

  signal(name) {
    this.recorder.add(`signal    ${name} to ${this.name}`);
    this.child.kill(name);
  }

  /** Asks like the platform whether the machine takes new channels. */
  isReady() {
    return new Promise((done) => {
      const options = { host: LOOPBACK, port: this.readinessPort, path: '/readyz', agent: false };
      const sent = sendHttp(options, (response) => {
        response.resume();
        done(response.statusCode === 200);
      });
      sent.on('error', () => done(false));
      sent.setTimeout(1_000, () => sent.destroy());
      sent.end();
    });
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const endsAtMs = getTimeMs() + timeoutMs;
    while (!(await this.isReady())) {
      if (getTimeMs() > endsAtMs) throw new Error(`${this.name} is not ready`);
      await sleep(100);
    }
    this.recorder.add(`ready     ${this.name}`);
  }

  async stop() {
    if (this.child !== undefined && !this.hasExited) {
      this.child.kill('SIGKILL');
      await this.exited;
    }
    if (this.folder !== undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}

let attemptCount = 0;

/** Makes an id of a consumer attempt. */
export function makeAttemptId() {
  attemptCount += 1;
  return createHash('sha1').update(`${process.pid} ${attemptCount}`).digest('hex').slice(0, 16);
}

/**
 * Sends one request as a consumer does and reads its answer. `agent` holds a kept channel; without it the channel is new.
 *
 * `readBytesPerS` is the speed of the consumer's own line; without it the answer is read at once.
 */
export function sendRequest(options) {
  const { port, path, method = 'POST', body, key = KEY, deadlineMs = 15_000, agent } = options;
  const { recorder, readBytesPerS, headers = {}, label = '' } = options;
  const attemptId = makeAttemptId();
  const result = { attemptId, sentAtMs: getTimeMs(), status: undefined, isComplete: false };
  const hash = createHash('sha256');
  recorder.add(`sent      ${attemptId} ${method} ${path} ${label}`);
  return new Promise((done) => {
    const settle = (reason) => {
      if (result.endedAtMs !== undefined) return;
      result.endedAtMs = getTimeMs();
      result.reason = reason;
      clearTimeout(timer);
      const answer = result.status === undefined ? 'no answer' : `${result.status}`;
      const whole = result.isComplete ? 'whole' : 'not whole';
      recorder.add(
        `answered  ${attemptId} ${answer}, ${whole}, ${result.bytes ?? 0} bytes ${reason}`,
      );
      done(result);
    };
    const sent = sendHttp(
      {
        ...{ host: LOOPBACK, port, path, method, agent: agent ?? false },
        headers: {
          Host: HOST,
          'x-attempt-id': attemptId,
          'x-deadline-ms': String(deadlineMs),
          Authorization: `Bearer ${key}`,
          ...(body === undefined ? {} : { 'Content-Length': body.length }),
          ...headers,
        },
      },
      (response) => {
        result.status = response.statusCode;
        result.headers = response.headers;
        result.bytes = 0;
        const startedAtMs = getTimeMs();
        response.on('data', (chunk) => {
          result.bytes += chunk.length;
          hash.update(chunk);
          if (readBytesPerS === undefined) return;
          const dueAtMs = startedAtMs + (result.bytes / readBytesPerS) * 1_000;
          const waitMs = dueAtMs - getTimeMs();
          if (waitMs < 5) return;
          response.pause();
          setTimeout(() => response.resume(), waitMs);
        });
        response.on('end', () => {
          result.isComplete = response.complete;
          result.bodyHash = hash.digest('hex').slice(0, 16);
          settle('');
        });
        response.on('error', (error) => settle(error.message));
        response.on('close', () => settle('closed'));
      },
    );
    sent.on('error', (error) => settle(error.message));
    const timer = setTimeout(() => {
      settle('the time limit has passed');
      sent.destroy();
    }, deadlineMs);
    sent.end(body);
  });
}

/** Runs a case and ends the process with its exit code; `run` returns the reasons why the rule is broken. */
export async function runCase(caseUrl, run) {
  const recorder = new Recorder(caseUrl);
  const cleanups = [];
  let code = NOT_RUN;
  // An error that nothing awaits ends the case as one that could not run; Node would exit with 1, as for a broken rule.
  const stray = new Promise((_, fail) => {
    process.on('uncaughtException', fail);
    process.on('unhandledRejection', fail);
  });
  try {
    const findings = await Promise.race([
      run(recorder, (cleanup) => cleanups.push(cleanup)),
      stray,
    ]);
    for (const finding of findings) recorder.add(`BROKEN    ${finding}`);
    if (findings.length === 0) recorder.add('the rule held');
    code = findings.length > 0 ? BROKEN : HELD;
    process.stdout.write(`${findings.length > 0 ? findings.join('\n') : 'the rule held'}\n`);
  } catch (error) {
    recorder.add(`the case could not run: ${error.stack}`);
    process.stdout.write(`the case could not run: ${error.message}\n`);
  }
  for (const cleanup of cleanups.reverse()) await cleanup();
  recorder.write();
  process.exit(code);
}
