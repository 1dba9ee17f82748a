// Starts the program of the deploy file with the filled-in settings template, as the platform does.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { NAMES } from './names.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Bounds of the small sheets. */
export const BOUNDS = {
  ...{ SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000 },
  ...{ GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250, OuterMs: 5000 },
  ...{ StrictRevoke: true, RevokeMs: 5000, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 52 },
  ...{ RecoverS: 12, IterationMs: 120, ReuseWindowS: 10 },
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Ports below those that the system gives to outgoing connections, so that none is taken later. */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_000;

/** Finds ports that are free now. */
export async function findPorts(count) {
  const servers = [];
  while (servers.length < count) {
    const server = createServer();
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (isFree) servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Fills in a template as DEPLOY.md says: values, lists, sections and their opposites. */
export function render(text, scopes) {
  const find = (path) => {
    if (path === '.') return scopes[0];
    const [first, ...rest] = path.split('.');
    const scope = scopes.find((candidate) => candidate?.[first] !== undefined);
    return rest.reduce((value, key) => value?.[key], scope?.[first]);
  };
  const section = /\{\{([#^])([^}]+)\}\}((?:(?!\{\{[#^]\2\}\})[\s\S])*?)\{\{\/\2\}\}/;
  for (let match = section.exec(text); match !== null; match = section.exec(text)) {
    const [whole, sign, path, inner] = match;
    const value = find(path);
    const isPresent = value !== undefined && value !== false && value !== null;
    let result = '';
    if (sign === '^') result = isPresent ? '' : render(inner, scopes);
    else if (Array.isArray(value))
      result = value.map((entry) => render(inner, [entry, ...scopes])).join(',');
    else if (isPresent) result = render(inner, [value, ...scopes]);
    text = text.slice(0, match.index) + result + text.slice(match.index + whole.length);
  }
  return text.replace(/\{\{([^}]+)\}\}/g, (_, path) => String(find(path) ?? ''));
}

export class GatewayProcess {
  constructor({ name, zone = 'z-a', storeAddress, bounds = {} }) {
    Object.assign(this, { name, zone, storeAddress, bounds: { ...BOUNDS, ...bounds } });
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.logLines = [];
  }

  async start() {
    if (this.ports === undefined) this.ports = await findPorts(4);
    const [frontend, readiness, peer, metrics] = this.ports;
    const fields = {
      ...{ NodeName: this.name, Role: 'gateway', MachineClass: 'edge', Ip: '127.0.0.1' },
      ...{ Zone: this.zone, Region: 'region', InternalPorts: [peer, metrics], Bootstrap: true },
      Listen: { Frontend: `127.0.0.1:${frontend}`, Readiness: `127.0.0.1:${readiness}` },
      Platform: { Address: this.storeAddress, form: 'objects', WritesPerS: 400, ReadsPerS: 2000 },
      Bounds: this.bounds,
    };
    const template = readFileSync(join(ROOT, 'deploy/settings.template'), 'utf8');
    const file = join(this.folder, 'settings');
    writeFileSync(file, render(template, [fields]));
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, [NAMES.settingsVariable]: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.ended = { code, signal };
        resolve(this.ended);
      });
    });
    for (const stream of [this.child.stdout, this.child.stderr]) {
      stream.setEncoding('utf8').on('data', (text) => this.logLines.push(...text.split('\n')));
    }
    this.frontendPort = frontend;
    this.readinessPort = readiness;
  }

  signal(name) {
    this.child.kill(name);
  }

  async isReady() {
    try {
      const response = await fetch(`http://127.0.0.1:${this.readinessPort}/readyz`);
      await response.text();
      return response.status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      if (await this.isReady()) return true;
      await sleep(50);
    }
    return false;
  }

  async stop() {
    if (this.child !== undefined && this.ended === undefined) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await this.exited;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Makes a route of a configuration to the service `s`. */
export function makeRoute({ name, type, timeoutMs, targetMs, attempts }) {
  return {
    ...{ Name: name, Host: 'a.example', Type: type, Service: 's', TimeoutMs: timeoutMs },
    ...{ [NAMES.pathPrefix]: `/${name}/`, [NAMES.targetLatencyMs]: targetMs },
    [NAMES.maxAttempts]: attempts,
  };
}

/** Makes the service `s` of a configuration. */
export function makeService(connections) {
  return { Name: 's', [NAMES.maxConnections]: connections };
}

/** Makes a configuration. */
export function makeConfig({ version = 1, routes, services, tenants, limits = {} }) {
  return {
    Version: version,
    Routes: routes,
    Services: services,
    ...(tenants === undefined ? {} : { Tenants: tenants }),
    Limits: {
      ...{ MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304 },
      ...{ HeaderTimeoutMs: 10_000, IdleTimeoutMs: 15_000, ...limits },
    },
  };
}

/** Makes the entry of a server in the store. */
export function makeServerEntry({ service, port, zone = 'z-a', capacity = 64, born, ...rest }) {
  return {
    ...{ Service: service, Address: `127.0.0.1:${port}`, Zone: zone, Version: '1' },
    ...{ Capacity: capacity, State: 'ready', [NAMES.warmupLeftMs]: 0, Sequence: 1, born, ...rest },
  };
}
