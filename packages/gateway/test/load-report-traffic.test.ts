import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { setTimeout as sleep } from 'node:timers/promises';
import { LoadTable } from '@pollendrum/policy';
import type { PlacedRequest, PromptPart } from '@pollendrum/policy';
import { expect, test } from 'vitest';
import { LoadReporter } from '../src/load-reporter';
import { TrafficMeter } from '../src';
import { createTestLog, findFreeUdpPort } from './gateway-fixture';

/** Bytes of the IP and UDP headers of a datagram. */
const DATAGRAM_HEADER_BYTES = 28;
/** A tenth of the slowest link of the users' installations, 7 Mbit/s, in bytes per second. */
const MAX_BYTES_PER_SECOND = 7e6 / 8 / 10;
const REQUESTS_PER_SECOND = 6.3;
const FIRST_EVENT_AFTER_MS = 100;
const RESPONSE_MS = 1_500;
const MEASURED_MS = 2_000;

interface ByteCounter extends AsyncDisposable {
  port: number;
  countBytes(): number;
}

async function startByteCounter(): Promise<ByteCounter> {
  const port = await findFreeUdpPort();
  let bytes = 0;
  const socket: Socket = createSocket({ type: 'udp4', recvBufferSize: 4_194_304 });
  socket.on('message', (message) => {
    bytes += message.length + DATAGRAM_HEADER_BYTES;
  });
  await new Promise<void>((resolve) => socket.bind(port, '127.0.0.1', resolve));
  return {
    port,
    countBytes: () => bytes,
    [Symbol.asyncDispose]: () =>
      new Promise<void>((resolve) => {
        socket.close(resolve);
      }),
  };
}

/** Parts of a prompt that other prompts share: one for all, one for a team. */
function makeParts(index: number): PromptPart[] {
  return [
    { id: '5c1e07a2', tokens: 512 },
    { id: `91bd3f${(index % 24).toString(16).padStart(2, '0')}`, tokens: 4_870 },
  ];
}

/** Places streams on the servers in turn at the rate of one instance; each sends its first event and then ends. */
async function runTraffic(
  { loads, reporter }: { loads: LoadTable; reporter: LoadReporter },
  servers: number,
  durationMs: number,
): Promise<void> {
  const endsAtMs = performance.now() + durationMs;
  for (let index = 0; performance.now() < endsAtMs; index += 1) {
    const request: PlacedRequest = {
      serverId: `i-${(index % servers).toString(16).padStart(10, '0')}`,
      prefillMs: 90,
      heldTokens: 6_000,
      isPauseSensitive: true,
      hasLongPrompt: index % 2 === 0,
      expectedFirstByteAtMs: performance.now() + 150,
      isStreaming: false,
    };
    loads.add(request, performance.now());
    reporter.addPrompt({ serverId: request.serverId, parts: makeParts(index) });
    setTimeout(() => {
      loads.markStreaming(request);
    }, FIRST_EVENT_AFTER_MS);
    setTimeout(() => {
      loads.remove(request);
    }, RESPONSE_MS);
    await sleep(1_000 / REQUESTS_PER_SECOND);
  }
}

// Guards against load reports that fill the links of the instances, so that requests, cancellations and configurations
// arrive seconds late. All instances send alike, so what one sends is also what one receives.
test.each([
  { instances: 9, servers: 11 },
  { instances: 62, servers: 66 },
  { instances: 84, servers: 82 },
  { instances: 300, servers: 320 },
  { instances: 530, servers: 7_500 },
])(
  'load reports of $instances instances about $servers servers take at most a tenth of a 7 Mbit/s link',
  async ({ instances, servers }) => {
    await using counter = await startByteCounter();
    const loads = new LoadTable();
    await using reporter = new LoadReporter({
      instanceId: 'entry-0',
      address: '127.0.0.1',
      port: await findFreeUdpPort(),
      loads,
      clock: () => performance.now(),
      log: createTestLog([]),
      traffic: new TrafficMeter(),
      onPrompt: () => undefined,
    });
    reporter.setPeers(
      Array.from({ length: instances }, (_, index) => ({
        instanceId: `entry-${index}`,
        address: '127.0.0.1',
        port: counter.port,
      })),
    );
    await runTraffic({ loads, reporter }, servers, RESPONSE_MS);
    const bytesBefore = counter.countBytes();
    const startedAtMs = performance.now();
    await runTraffic({ loads, reporter }, servers, MEASURED_MS);
    const seconds = (performance.now() - startedAtMs) / 1_000;
    const bytesPerSecond = (counter.countBytes() - bytesBefore) / seconds;
    expect(bytesPerSecond).toBeGreaterThan(0);
    expect(bytesPerSecond).toBeLessThanOrEqual(MAX_BYTES_PER_SECOND);
  },
);
