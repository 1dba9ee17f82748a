import { createSocket } from 'node:dgram';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test, vi } from 'vitest';
import { createTelemetry } from '../../src/telemetry';
import { removeSecrets } from '../../src/telemetry/logs';
import { RateLimitedWarning } from '../../src/telemetry/rate-limited-warning';
import { settings } from '../entry/fakes';

afterEach(() => {
  vi.restoreAllMocks();
});

const TRACE_PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

// Guards against secrets in log lines, also in nested fields.
test.each([
  { value: { authorization: 'Bearer x' }, text: '{"authorization":"[removed]"}' },
  { value: { a: [{ clusterKey: 'x', n: 1 }] }, text: '{"a":[{"clusterKey":"[removed]","n":1}]}' },
  { value: { outputTokens: 3 }, text: '{"outputTokens":3}' },
])('redacts secret fields and keeps all others: $text', ({ value, text }) => {
  expect(JSON.stringify(removeSecrets(value))).toBe(text);
});

// Guards against flooding the log while a collector is unavailable.
test('logs a repeated failure once a minute', () => {
  const warn = vi.fn();
  const warning = new RateLimitedWarning({ warn }, 'lost');
  for (const nowMs of [0, 1, 59_999, 60_000]) warning.report('refused', nowMs);
  expect(warn).toHaveBeenCalledTimes(2);
  expect(warn).toHaveBeenLastCalledWith('lost', { reason: 'refused', suppressed: 2 });
});

// Guards against an unavailable collector that delays requests or the shutdown.
test('does not delay requests or the shutdown when the collectors are unavailable', async () => {
  const telemetry = createTelemetry({
    ...settings,
    logLevel: 'error',
    otlpUrl: 'http://127.0.0.1:9/v1/traces',
    statsdAddress: '127.0.0.1:9',
  });
  const startedAtMs = performance.now();
  for (let index = 0; index < 2_000; index += 1) {
    using span = telemetry.trace.startRequestSpan('request', {});
    span.setAttribute('index', index);
    telemetry.metrics.increment('requests', { class: 'quick' });
  }
  expect(performance.now() - startedAtMs).toBeLessThan(1_000);
  await telemetry[Symbol.asyncDispose]();
  expect(performance.now() - startedAtMs).toBeLessThan(4_000);
});

// Guards against traces that end at the router because the trace context is not propagated.
test.each([
  { name: 'without a collector', otlpUrl: undefined },
  { name: 'with a collector', otlpUrl: 'http://127.0.0.1:9/v1/traces' },
])('propagates the trace id of the caller $name', async ({ otlpUrl }) => {
  const telemetry = createTelemetry({ ...settings, logLevel: 'error', otlpUrl });
  using span = telemetry.trace.startRequestSpan('request', { traceparent: TRACE_PARENT });
  using child = span.startChild('engine');
  const { traceparent } = child.injectHeaders();
  expect(traceparent?.slice(3, 35)).toBe(TRACE_PARENT.slice(3, 35));
  await telemetry[Symbol.asyncDispose]();
});

// Guards against spans and metrics that are recorded but never sent.
test('sends spans and metrics to their collectors', async () => {
  const paths: string[] = [];
  const collector = createServer((request, response) => {
    paths.push(request.url ?? '');
    request.resume();
    response.end('{}');
  });
  await new Promise<void>((resolve) => collector.listen(0, '127.0.0.1', resolve));
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => socket.bind(0, '127.0.0.1', resolve));
  const datagram = new Promise<string>((resolve) => {
    socket.once('message', (message) => {
      resolve(message.toString());
    });
  });
  const { port } = collector.address() as AddressInfo;
  const telemetry = createTelemetry({
    ...settings,
    logLevel: 'error',
    otlpUrl: `http://127.0.0.1:${port}/v1/traces`,
    statsdAddress: `127.0.0.1:${socket.address().port}`,
  });
  telemetry.trace.startRequestSpan('request', {})[Symbol.dispose]();
  telemetry.metrics.increment('requests', { class: 'quick' });
  expect(await datagram).toContain('pollendrum.requests:1|c|#class:quick');
  await telemetry[Symbol.asyncDispose]();
  expect(paths).toEqual(['/v1/traces']);
  collector.close();
  collector.closeAllConnections();
  socket.close();
});
