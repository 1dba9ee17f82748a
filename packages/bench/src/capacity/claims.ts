import { randomUUID } from 'node:crypto';
import { setTimeout as waitFor } from 'node:timers/promises';
import {
  ClaimRangeWriter,
  computeRangeIndex,
  createPlatformClient,
  hashIdempotencyKey,
  MAX_CLAIM_RANGE_BYTES,
  CLAIM_RANGE_COUNT,
} from '@pollendrum/platform';
import type { PlatformClient } from '@pollendrum/platform';
import { createPlatform } from '@pollendrum/stand-ins';
import { ClaimTable } from '../../../platform/src/claims/claim-table';
import { measureMedianMs } from './heap';
import { createFigure, type Figure, type Measurement, type MeasurementScope } from './measurement';

const RETENTION_MS = 86_400_000;
const RETENTION_SECONDS = RETENTION_MS / 1_000;
const RATES = [10, 100, 300, 1_000];
const DELAYS_MS = [0, 5];
const FULL_MS = 5_000;
const QUICK_MS = 1_000;
const TICK_MS = 10;
const ANSWER_BYTES = [0, 100, 1_024];

/** Platform writes by claim rate, and claims that fit in a range's object. */
export const claims: Measurement = {
  description: 'claims over 64 ranges with group commit against the platform stand-in',
  run: async ({ scope }) => {
    const figures: Figure[] = ANSWER_BYTES.flatMap(measureRoom);
    for (const delayMs of DELAYS_MS) {
      for (const rate of RATES) figures.push(...(await measureRate(rate, delayMs, scope)));
    }
    return figures;
  },
};

/** Claims that fit in one object when each is settled with a body of this size. */
function measureRoom(bodyBytes: number): Figure[] {
  const table = new ClaimTable({ claims: {} });
  const nowMs = Date.now();
  let count = 0;
  for (;;) {
    const keyHash = hashIdempotencyKey('team', 'ordering', randomUUID());
    const nonce = randomUUID();
    const answer = table.applyClaim({ keyHash, nonce, requestId: randomUUID() }, nowMs);
    if (answer.result !== 'claimed') break;
    count += 1;
    const body = 'x'.repeat(bodyBytes);
    const result = { status: 201, contentType: 'application/json', body };
    table.applySettlement({ keyHash, nonce, state: 'done', ...result }, nowMs);
  }
  const formatMs = measureMedianMs(5, () => table.formatRange());
  const add = (name: string, value: number, unit: string) =>
    createFigure(`body=${bodyBytes} ${name}`, value, unit);
  return [
    add('claims in a range', count, ''),
    add('object a claim', MAX_CLAIM_RANGE_BYTES / count, 'B'),
    add(
      'rate that fills 64 ranges in 24 h',
      (count * CLAIM_RANGE_COUNT) / RETENTION_SECONDS,
      'claims/s',
    ),
    add('full range formatted in', formatMs, 'ms'),
  ];
}

async function measureRate(
  rate: number,
  delayMs: number,
  scope: MeasurementScope,
): Promise<Figure[]> {
  await using platform = await createPlatform();
  platform.applyFaults({ delayMs });
  await using client = createPlatformClient({ url: `http://127.0.0.1:${platform.port}` });
  const writers = createWriters(client);
  const durationMs = scope === 'quick' ? QUICK_MS : FULL_MS;
  const result = await runClaims(writers, rate, durationMs);
  const { writes, reads } = platform.getCounts();
  for (const writer of writers) await writer[Symbol.asyncDispose]();
  const seconds = durationMs / 1_000;
  const add = (name: string, value: number, unit: string) =>
    createFigure(`rate=${rate} platform=+${delayMs}ms ${name}`, value, unit);
  return [
    add('claims', result.claimed / seconds, '1/s'),
    add('platform writes', writes / seconds, '1/s'),
    add('claims a write', result.claimed / writes, ''),
    add('first reads of ranges', reads, ''),
    add('claim answered, mean', result.totalMs / result.claimed, 'ms'),
  ];
}

function createWriters(client: PlatformClient): ClaimRangeWriter[] {
  return Array.from(
    { length: CLAIM_RANGE_COUNT },
    (_, rangeIndex) => new ClaimRangeWriter({ client, rangeIndex, retentionMs: RETENTION_MS }),
  );
}

/** Sends claims evenly for the duration and waits for their answers; each is settled as done. */
async function runClaims(writers: readonly ClaimRangeWriter[], rate: number, durationMs: number) {
  const result = { claimed: 0, totalMs: 0 };
  const waiting: Promise<void>[] = [];
  const startedAtMs = performance.now();
  const runClaim = async () => {
    const keyHash = hashIdempotencyKey('team', 'ordering', randomUUID());
    const nonce = randomUUID();
    const writer = writers[computeRangeIndex(keyHash)];
    const sentAtMs = performance.now();
    const answer = await writer?.claimKey({ keyHash, nonce, requestId: randomUUID() });
    if (answer?.result !== 'claimed') throw new Error(`claim ended as ${answer?.result ?? 'none'}`);
    result.claimed += 1;
    result.totalMs += performance.now() - sentAtMs;
    writer?.recordSettlement({ keyHash, nonce, state: 'done', status: 201 });
  };
  for (;;) {
    const elapsedMs = performance.now() - startedAtMs;
    if (elapsedMs >= durationMs) break;
    while (waiting.length < (elapsedMs / 1_000) * rate) waiting.push(runClaim());
    await waitFor(TICK_MS);
  }
  await Promise.all(waiting);
  for (const writer of writers) await writer.flush();
  return result;
}
