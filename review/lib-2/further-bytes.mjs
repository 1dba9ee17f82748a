// Orders and lookups at servers that send further bytes after some of their answers. For the cases 6 and 7.
import { writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import {
  GatewayProcess,
  makeConfig,
  makeRoute,
  makeServerEntry,
  makeService,
  sleep,
} from './gateway.mjs';
import { Store } from './store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Rates, work and errors of the orders and lookups on the sheet of kfl-tumble. */
const ROUTES = [
  { name: 'order', type: 'non_idempotent', perSecond: 13.8, attempts: 1, errorShare: 0.004 },
  { name: 'look', type: 'idempotent', perSecond: 5.51, attempts: 2, errorShare: 0.14 },
];
const SERVERS = 3;
const MIN_WORK_MS = 14;
const MAX_WORK_MS = 28;
const TIME_LIMIT_MS = 1_000;
const MAX_IDLE_MS = 10_000;
/** The disruption: two of the three servers, one in twenty of their answers, for 5.5 s, again and again. */
const FAULTY_SERVERS = 2;
const FAULTY_SHARE = 0.05;
const EPISODE_MS = 5_500;
const CALM_MS = 1_000;
const EPISODES = 16;
const MIN_LATE_MS = 8;
const MAX_LATE_MS = 24;
const lines = [];
const startedAtMs = performance.now();
const getTime = () => Math.round(performance.now() - startedAtMs);
const record = (text) => {
  lines.push(`${String(getTime()).padStart(6)} ms  ${text}`);
};
const pickBetween = (min, max) => min + Math.random() * (max - min);

/** Answers by request id, as the servers gave them. */
const given = new Map();
let isFaulty = false;
let furtherCount = 0;
let furtherBytes = '';
/** Which server has run a request and when, by id. */
const runs = new Map();
let answerCount = 0;

function startServer(index) {
  const server = createServer((socket) => {
    let text = '';
    socket.setNoDelay(true).setEncoding('latin1');
    socket.on('error', () => undefined);
    socket.on('data', (part) => {
      text += part;
      for (;;) {
        const end = text.indexOf('\r\n\r\n');
        const length = Number(/content-length: (\d+)/i.exec(text.slice(0, end))?.[1] ?? 0);
        if (end < 0 || text.length < end + 4 + length) return;
        const head = text.slice(0, end);
        text = text.slice(end + 4 + length);
        answer(socket, head, index);
      }
    });
  });
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)));
}

function answer(socket, head, index) {
  const id = /x-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
  const { errorShare } = ROUTES.find(({ name }) => id.startsWith(name));
  const status = Math.random() < errorShare ? 500 : 200;
  runs.set(id, [...(runs.get(id) ?? []), `by server ${index} at ${getTime()} ms`]);
  answerCount += 1;
  const stamp = `${index}.${answerCount}.${status}`;
  const body = `${id} answered by ${index} with ${status}`.padEnd(800, '.');
  setTimeout(
    () => {
      if (socket.destroyed) return;
      given.set(stamp, { id, status, body });
      socket.write(
        `HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Error'}\r\nx-attempt-id: ${id}\r\n` +
          `x-server-stamp: ${stamp}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      if (!isFaulty || index >= FAULTY_SERVERS || Math.random() >= FAULTY_SHARE) return;
      setTimeout(
        () => {
          if (socket.destroyed) return;
          furtherCount += 1;
          socket.write(furtherBytes);
          record(
            `server ${index} sends ${furtherBytes.length} further bytes after its answer to ${id}`,
          );
        },
        pickBetween(MIN_LATE_MS, MAX_LATE_MS),
      );
    },
    pickBetween(MIN_WORK_MS, MAX_WORK_MS),
  );
}

/** Sends a request on a kept channel, or a new one, and resolves with the answer. */
class Consumers {
  idle = [];

  constructor(port) {
    this.port = port;
  }

  async send({ name, type }, number) {
    const id = `${name}-${number}`;
    const socket = this.#takeIdle() ?? connect(this.port, '127.0.0.1').setEncoding('latin1');
    const body = type === 'idempotent' ? '' : 'x'.repeat(600);
    const method = type === 'idempotent' ? 'GET' : 'POST';
    const sentAtMs = getTime();
    const answer = await new Promise((resolve) => {
      let text = '';
      const end = (result) => {
        clearTimeout(timer);
        socket.off('data', read).off('close', close).off('error', close);
        resolve(result);
      };
      const close = (error) =>
        end({ why: error === undefined ? 'nothing in time' : String(error) });
      const timer = setTimeout(close, TIME_LIMIT_MS + 500);
      const read = (part) => {
        text += part;
        const headEnd = text.indexOf('\r\n\r\n');
        const length = Number(/content-length: (\d+)/i.exec(text)?.[1]);
        if (headEnd < 0 || text.length < headEnd + 4 + length) return;
        end({
          status: Number(text.slice(9, 12)),
          stamp: /x-server-stamp: (\S+)/i.exec(text)?.[1],
          body: text.slice(headEnd + 4),
        });
      };
      socket.on('data', read).once('close', close).once('error', close);
      socket.write(
        `${method} /${name}/x HTTP/1.1\r\nHost: a.example\r\nx-attempt-id: ${id}\r\n` +
          `x-deadline-ms: ${TIME_LIMIT_MS}\r\n` +
          `${body === '' ? '' : `Content-Length: ${body.length}\r\n`}\r\n${body}`,
      );
    });
    if (answer.why !== undefined) socket.destroy();
    else this.idle.push({ socket, sinceMs: performance.now() });
    return { id, sentAtMs, answer };
  }

  /** Takes a channel that has been idle for less than four fifths of `IdleTimeoutMs`. */
  #takeIdle() {
    const firstMs = performance.now() - MAX_IDLE_MS;
    this.idle = this.idle.filter(({ socket, sinceMs }) => {
      const isUsable = !socket.destroyed && sinceMs > firstMs;
      if (!isUsable) socket.destroy();
      return isUsable;
    });
    return this.idle.pop()?.socket;
  }
}

/** Finds out whether an answer is what the server with its signature gave; undefined if it is. */
function findFault({ id, answer }) {
  if (answer.stamp === undefined) {
    return answer.status < 300 ? 'a success without a signature' : undefined;
  }
  const own = given.get(answer.stamp);
  if (own === undefined || own.id !== id) return 'the answer of another request';
  if (own.status !== answer.status) {
    return `status ${answer.status} with the signature of server ${answer.stamp[0]}, which gave ${own.status}`;
  }
  return own.body === answer.body ? undefined : 'another body than the server gave';
}

async function run(rule) {
  const store = new Store();
  await store.listen();
  const servers = await Promise.all(
    Array.from({ length: SERVERS }, (_, index) => startServer(index)),
  );
  const routes = ROUTES.map((route) =>
    makeRoute({ ...route, timeoutMs: TIME_LIMIT_MS, targetMs: 121 }),
  );
  const services = [makeService(96)];
  store.put('config', 'main', makeConfig({ routes, services }));
  servers.forEach((server, index) => {
    const { port } = server.address();
    const entry = makeServerEntry({ service: 's', port, capacity: 6, born: Date.now() + index });
    store.put('servers', `i-${index}`, entry);
  });
  const gateway = new GatewayProcess({ name: 'edge-1', storeAddress: store.address });
  try {
    await gateway.start();
    if (!(await gateway.waitUntilReady())) return 2;
    await sleep(1_000);
    const consumers = new Consumers(gateway.frontendPort);
    const pending = [];
    const counts = { sent: 0, whole: 0, failed: 0, none: 0, wrong: 0 };
    const judge = (result) => {
      const { id, sentAtMs, answer } = result;
      const by = runs.get(id)?.join(', ') ?? 'by none';
      const told = answer.why ?? `${answer.status}, signature ${answer.stamp ?? 'none'}`;
      record(`${id}: sent at ${sentAtMs} ms, run ${by}, answered: ${told}`);
      const fault = findFault(result);
      if (fault !== undefined) {
        counts.wrong += 1;
        record(`${result.id}: ${fault}`);
      } else if (result.answer.why !== undefined) {
        counts.none += 1;
        record(`${result.id}: no answer: ${result.answer.why}`);
      } else if (result.answer.stamp === undefined) counts.failed += 1;
      else counts.whole += 1;
    };
    let isEnding = false;
    const feeds = ROUTES.map(async (route) => {
      while (!isEnding) {
        counts.sent += 1;
        pending.push(consumers.send(route, counts.sent).then(judge));
        await sleep((-Math.log(1 - Math.random()) * 1_000) / route.perSecond);
      }
    });
    for (let episode = 0; episode < EPISODES; episode += 1) {
      isFaulty = hasTrouble;
      await sleep(EPISODE_MS);
      isFaulty = false;
      await sleep(CALM_MS);
    }
    isEnding = true;
    await Promise.all(feeds);
    await Promise.all(pending);
    const repeated = [...runs].filter(([id, by]) => by.length > 1 && id.startsWith('order'));
    for (const [id, by] of repeated) record(`${id} has run ${by.length} times: ${by.join(', ')}`);
    const { sent, whole, failed, none, wrong } = counts;
    record(
      `${sent} requests; ${furtherCount} answers with further bytes; ${whole} got their server's answer, ` +
        `${failed} an answer of the gateway's own, ${none} none, ${wrong} a wrong one; ` +
        `${repeated.length} orders have run more than once`,
    );
    const broken = { TWICE: repeated.length, MIXED: wrong };
    return broken[rule] > 0 ? 1 : 0;
  } finally {
    await gateway.stop();
    for (const server of servers) server.close();
    store.close();
  }
}

/**
 * Plays the case, writes `record.txt` into its folder and ends the process.
 *
 * @param options `rule` that is judged, the further `bytes`, and the `folder` of the case
 */
export async function play({ rule, bytes, folder }) {
  furtherBytes = bytes;
  const code = await run(rule).catch((error) => {
    record(`the case could not run: ${error.stack}`);
    return 2;
  });
  record(['the rule held', 'the rule is broken', 'the case could not run'][code]);
  writeFileSync(new URL('record.txt', folder), `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.slice(-8).join('\n')}\n`);
  process.exit(code);
}
