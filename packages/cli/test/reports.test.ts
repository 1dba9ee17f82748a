import type { OutcomeRecord } from '@pollendrum/protocol';
import { describe, expect, test } from 'vitest';
import { computeAttainmentReport, formatAttainmentReport } from '../src/reports/attainment-report';
import { formatExplanation } from '../src/reports/explanation';

function makeRecord(change: Partial<OutcomeRecord>): OutcomeRecord {
  return {
    requestId: 'r1',
    entryInstanceId: 'i1',
    recordedBy: 'i1',
    receivedAtMs: 1_000,
    className: 'schedule',
    tier: 0,
    team: 'lapidary',
    target: 'advisor',
    bundleNumber: 3,
    outcome: 'answered',
    status: 200,
    onTime: true,
    hops: [{ hop: 'queue', elapsedMs: 4, detail: 'i2' }],
    serverIds: ['engine-1'],
    totalMs: 900,
    outputTokens: 40,
    wastedTokens: 0,
    ...change,
  };
}

describe('computeAttainmentReport', () => {
  // Guards against counting a request twice when its entry and its dispatcher both recorded it,
  // and against blaming the system for invalid requests.
  test('counts each request once and leaves out caller errors', () => {
    const records = [
      makeRecord({ requestId: 'a' }),
      makeRecord({ requestId: 'a', recordedBy: 'i2' }),
      makeRecord({
        requestId: 'b',
        onTime: false,
        wastedTokens: 7,
        cause: {
          kind: 'server-slow',
          serverId: 'engine-1',
          attemptId: 'x',
          firstTokenMs: 2000,
          longestGapMs: 10,
        },
      }),
      makeRecord({
        requestId: 'c',
        outcome: 'not-run',
        onTime: false,
        cause: { kind: 'unauthorized' },
      }),
      makeRecord({ requestId: 'late', receivedAtMs: 99_000 }),
    ];
    const report = computeAttainmentReport(records, 0, 10_000);
    expect(report.classes).toEqual([
      expect.objectContaining({
        requests: 2,
        attainment: 0.5,
        wastedTokens: 7,
        late: 1,
        notRun: 0,
      }),
    ]);
    expect(report.causes.map((cause) => cause.cause)).toEqual(['server-slow', 'unauthorized']);
    expect(formatAttainmentReport(report)).toContain('50.0%');
  });
});

describe('formatExplanation', () => {
  // Guards against explanations without the cause's evidence or the time by hop.
  test('names outcome, cause, evidence and hops', () => {
    const text = formatExplanation(
      makeRecord({
        outcome: 'failed',
        status: 502,
        onTime: false,
        cause: {
          kind: 'server-crashed',
          serverId: 'engine-1',
          attemptId: 'x',
          deliveredTokens: 12,
        },
      }),
    );
    for (const part of [
      'failed after it ran',
      'server-crashed',
      'after 12 tokens',
      'queue',
      '4.0 ms',
    ]) {
      expect(text).toContain(part);
    }
  });
});
