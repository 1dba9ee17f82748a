import { randomUUID } from 'node:crypto';
import type { OutcomeRecord } from '@pollendrum/protocol';
import { MAX_STORE_BYTES, OutcomeStore } from '../../../router/src/control/outcome-store';
import { MAX_BATCH_BYTES } from '../../../router/src/control/outcome-writer';
import { measureHeapBytes } from './heap';
import { createFigure, type Figure, type Measurement } from './measurement';

const INSTANCES = 530;
const PEAK_REQUESTS_PER_SECOND = 12_000;
const WRITE_INTERVAL_SECONDS = 5;
const RECORDS = 60_000;
const MEGABYTE = 1_000_000;

/** Size of outcome records, and how long the memory of an instance covers. */
export const outcomes: Measurement = {
  description: 'outcome records: size, memory, minutes covered at the peak',
  run: () => Promise.resolve([...measureRecord(), ...measureStore()]),
};

function measureRecord(): Figure[] {
  const answeredBytes = JSON.stringify(buildRecord('answered')).length;
  const shedBytes = JSON.stringify(buildRecord('not-run')).length;
  const perInstance = PEAK_REQUESTS_PER_SECOND / INSTANCES;
  // Time until the bound of one object is reached, if every request were recorded.
  const batchSeconds = MAX_BATCH_BYTES / (perInstance * shedBytes);
  return [
    createFigure('record of an answered request', answeredBytes, 'B'),
    createFigure('record of a shed request', shedBytes, 'B'),
    createFigure('requests at the peak', perInstance, '1/s/instance'),
    createFigure('object of 5 s if all were shed', perInstance * 5 * shedBytes, 'B'),
    createFigure('object bound reached after, if all were shed', batchSeconds, 's'),
    createFigure(
      'platform writes if each instance has a record',
      INSTANCES / WRITE_INTERVAL_SECONDS,
      '1/s',
    ),
  ];
}

function measureStore(): Figure[] {
  const emptyBytes = measureHeapBytes();
  const store = new OutcomeStore();
  const startedAt = process.cpuUsage();
  for (let count = 0; count < RECORDS; count += 1) store.addRecord(buildRecord('answered'));
  const used = process.cpuUsage(startedAt);
  const heapBytes = measureHeapBytes() - emptyBytes;
  const kept = store.listRecords(0).length;
  const coveredSeconds = kept / (PEAK_REQUESTS_PER_SECOND / INSTANCES);
  return [
    createFigure('bound of the store, JSON', MAX_STORE_BYTES / MEGABYTE, 'MB'),
    createFigure('records kept', kept, ''),
    createFigure('heap of a full store', heapBytes / MEGABYTE, 'MB'),
    createFigure('time covered at the peak', coveredSeconds / 60, 'min'),
    createFigure('processor a record', (used.user + used.system) / RECORDS, 'us'),
  ];
}

function buildRecord(outcome: 'answered' | 'not-run'): OutcomeRecord {
  const isAnswered = outcome === 'answered';
  return {
    ...{ requestId: randomUUID(), entryInstanceId: 'instance-123', recordedBy: 'instance-123' },
    ...{ receivedAtMs: Date.now(), className: 'tier-1', tier: 1, team: 'team-01234' },
    ...{ target: 'm1', bundleNumber: 6_800, outcome, status: isAnswered ? 200 : 503 },
    ...{ onTime: isAnswered, totalMs: 17_123.456, outputTokens: isAnswered ? 258 : 0 },
    ...{ wastedTokens: 0, serverIds: isAnswered ? ['engine-4321'] : [] },
    hops: [
      { hop: 'receive', elapsedMs: 0.412 },
      { hop: 'queue', elapsedMs: 312.456, detail: 'instance-77' },
      ...(isAnswered ? buildAnswerHops() : []),
    ],
    ...(isAnswered ? { firstTokenMs: 812.345, longestGapMs: 88.123, meanGapMs: 61.234 } : {}),
    ...(isAnswered ? {} : { cause: buildShedCause() }),
  };
}

function buildAnswerHops(): OutcomeRecord['hops'] {
  return [
    { hop: 'connect', elapsedMs: 0.123, detail: 'engine-4321' },
    { hop: 'first-token', elapsedMs: 499.123, detail: 'engine-4321' },
    { hop: 'stream', elapsedMs: 16_311.456, detail: 'engine-4321' },
  ];
}

function buildShedCause(): OutcomeRecord['cause'] {
  return {
    kind: 'queue-wait-over-budget',
    ...{ estimatedWaitMs: 2_345.678, budgetMs: 1_300 },
    requestsAheadByTier: [12, 45, 101],
    usedSlotsByClass: { 'tier-0': 100, 'tier-1': 80, 'tier-2': 76 },
  };
}
