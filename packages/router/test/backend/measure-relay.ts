import { readFileSync } from 'node:fs';
import { createServer as createHttpServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { Worker } from 'node:worker_threads';
import { Pool } from 'undici';
import { chatBody, createHarness, createServer, KEY, settings } from '../entry/fakes';

// Measures the relay alone: engine and callers run in other threads, so the utilization of this thread's
// event loop and its processor time are the router's. Run with:
//   npx esbuild packages/router/test/backend/measure-relay.ts --bundle --platform=node --format=cjs \
//     --target=node20 --main-fields=module,main --log-level=error --outfile=dist/measure-relay.cjs
//   node dist/measure-relay.cjs

const STREAMS = 200;
const TOKENS = 400;
const GAP_MS = 10;
const LIGHT_REQUESTS = 400;

const engineCode = `
const { createServer } = require('node:http');
const { parentPort } = require('node:worker_threads');
const server = createServer((request, response) => {
  if (request.method !== 'POST') {
    response.writeHead(404).end();
    return;
  }
  const id = request.headers['x-request-id'] ?? 'direct';
  const parts = [];
  request.on('data', (part) => parts.push(part));
  request.on('end', () => {
    const count = JSON.parse(Buffer.concat(parts)).max_tokens;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    let index = 0;
    const write = () => {
      index += 1;
      const choices = [{ index: 0, delta: { content: ' word' + index }, finish_reason: index === count ? 'stop' : null }];
      const data = JSON.stringify({ id, object: 'chat.completion.chunk', created: 1, model: 'facet', choices });
      response.write('id: ' + id + ':' + index + '\\ndata: ' + data + '\\n\\n');
      if (index < count) return;
      clearInterval(timer);
      response.end('data: [DONE]\\n\\n');
    };
    const timer = setInterval(write, ${GAP_MS});
    write();
  });
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

const callerCode = `
const { request } = require('node:http');
const { parentPort } = require('node:worker_threads');
parentPort.on('message', ({ port, headers, body, streams }) => {
  let open = streams;
  let bytes = 0;
  for (let index = 0; index < streams; index += 1) {
    const sent = request({ port, host: '127.0.0.1', path: '/v1/chat/completions', method: 'POST', headers }, (response) => {
      response.on('data', (part) => { bytes += part.length; });
      response.on('end', () => { open -= 1; if (open === 0) parentPort.postMessage(bytes); });
    });
    sent.end(body);
  }
});
`;

// Clock ticks of this thread's processor time, fields 14 and 15 of proc(5) stat; 100 ticks a second on Linux.
function readThreadCpuMs(): number {
  const stat = readFileSync(`/proc/self/task/${process.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * 10;
}

async function startWorker(
  code: string,
): Promise<{ worker: Worker; message: () => Promise<number> }> {
  const worker = new Worker(code, { eval: true });
  await new Promise((resolve) => worker.once('online', resolve));
  const message = async () =>
    await new Promise<number>((resolve) => worker.once('message', resolve));
  return { worker, message };
}

async function measureFirstByteMs(port: number, body: string): Promise<number> {
  const startedAtMs = performance.now();
  return await new Promise<number>((resolve, reject) => {
    const headers = { authorization: `Bearer ${KEY}` };
    const path = '/v1/chat/completions';
    const sent = request({ port, host: '127.0.0.1', path, method: 'POST', headers }, (response) => {
      let firstMs = 0;
      response.on('data', () => {
        if (firstMs === 0) firstMs = performance.now() - startedAtMs;
      });
      response.on('end', () => {
        resolve(firstMs);
      });
    });
    sent.on('error', reject);
    sent.end(body);
  });
}

async function measureMedianMs(port: number, body: string): Promise<number> {
  const times: number[] = [];
  for (let index = 0; index < LIGHT_REQUESTS; index += 1) {
    times.push(await measureFirstByteMs(port, body));
  }
  return times.sort((a, b) => a - b)[LIGHT_REQUESTS / 2] ?? Number.NaN;
}

/** A relay that only copies bytes: the floor of any relay on this machine. */
async function startBareRelay(enginePort: number): Promise<number> {
  const pool = new Pool(`http://127.0.0.1:${enginePort}`);
  const server = createHttpServer((incoming, response) => {
    void pool
      .request({ method: 'POST', path: incoming.url ?? '/', body: incoming })
      .then(({ body }) => body.pipe(response));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}

async function runMeasurement(): Promise<void> {
  const engine = await startWorker(engineCode);
  const enginePort = await engine.message();
  const server = createServer('engine-1', enginePort);
  const harness = await createHarness([server], {
    settings: { ...settings, maxBodyBytes: 100_000 },
    stallMs: 2_000,
  });
  const caller = await startWorker(callerCode);
  const body = JSON.stringify({ ...chatBody, stream: true, max_tokens: TOKENS });
  const headers = { authorization: `Bearer ${KEY}` };
  const cpuBeforeMs = readThreadCpuMs();
  const before = performance.eventLoopUtilization();
  const startedAtMs = performance.now();
  const done = caller.message();
  caller.worker.postMessage({ port: harness.entry.port, headers, body, streams: STREAMS });
  const bytes = await done;
  const elapsedMs = performance.now() - startedAtMs;
  const used = performance.eventLoopUtilization(before);
  const cpuMs = readThreadCpuMs() - cpuBeforeMs;
  const tokens = harness.outcomes.records.reduce((sum, record) => sum + record.outputTokens, 0);
  const short = JSON.stringify({ ...chatBody, stream: true, max_tokens: 2 });
  const directMs = await measureMedianMs(enginePort, short);
  const bareMs = await measureMedianMs(await startBareRelay(enginePort), short);
  const relayedMs = await measureMedianMs(harness.entry.port, short);
  const result = {
    streams: STREAMS,
    tokens,
    bytes,
    tokensPerSecond: Math.round((tokens / elapsedMs) * 1_000),
    eventLoopUtilization: Number(used.utilization.toFixed(3)),
    cpuMs,
    tokensPerActiveSecond: Math.round((tokens / used.active) * 1_000),
    tokensPerCpuSecond: Math.round((tokens / cpuMs) * 1_000),
    medianFirstTokenDirectMs: Number(directMs.toFixed(3)),
    medianFirstTokenBareRelayMs: Number(bareMs.toFixed(3)),
    medianFirstTokenRelayedMs: Number(relayedMs.toFixed(3)),
  };
  console.log(JSON.stringify(result));
  await engine.worker.terminate();
  await caller.worker.terminate();
  await harness[Symbol.asyncDispose]();
  process.exit(0);
}

void runMeasurement();
