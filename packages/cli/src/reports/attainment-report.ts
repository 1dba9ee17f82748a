import type { OutcomeRecord } from '@pollendrum/protocol';

/** What a class did in the time window of a report. */
export interface ClassReport {
  className: string;
  tier: number;
  requests: number;
  /** Share of requests that met every latency target, 0 to 1. */
  attainment: number;
  /** Answered on time per second. */
  goodputPerSecond: number;
  wastedTokens: number;
  notRun: number;
  failed: number;
  late: number;
}

/** How often one cause ended or delayed requests of a class. */
export interface CauseReport {
  cause: string;
  className: string;
  requests: number;
  exampleRequestId: string;
}

export interface AttainmentReport {
  fromMs: number;
  toMs: number;
  classes: ClassReport[];
  /** Most frequent first. */
  causes: CauseReport[];
}

/** Outcomes that say nothing about the system: the caller left or sent an invalid request. */
const CALLER_CAUSES: ReadonlySet<string> = new Set([
  'bad-request',
  'unauthorized',
  'forbidden-class',
  'unknown-model',
  'unknown-service',
  'body-too-large',
  'missing-key',
  'key-expired',
  'duplicate-key',
  'caller-disconnected',
  'caller-slow',
]);

/** Summarizes outcome records of a time window given in Unix milliseconds. */
export function computeAttainmentReport(
  records: readonly OutcomeRecord[],
  fromMs: number,
  toMs: number,
): AttainmentReport {
  const unique = [...new Map(records.map((record) => [record.requestId, record])).values()];
  const inWindow = unique.filter((r) => r.receivedAtMs >= fromMs && r.receivedAtMs < toMs);
  const counted = inWindow.filter((record) => !CALLER_CAUSES.has(record.cause?.kind ?? ''));
  const byClass = collectByKey(counted, (record) => record.className);
  const seconds = Math.max(1, (toMs - fromMs) / 1000);
  const classes = [...byClass].map(([className, group]) =>
    computeClassReport(className, group, seconds),
  );
  classes.sort((a, b) => a.tier - b.tier || a.className.localeCompare(b.className));
  return { fromMs, toMs, classes, causes: collectCauses(inWindow) };
}

function computeClassReport(
  className: string,
  group: readonly OutcomeRecord[],
  seconds: number,
): ClassReport {
  const onTime = group.filter((record) => record.outcome === 'answered' && record.onTime).length;
  const countOutcome = (outcome: OutcomeRecord['outcome']) =>
    group.filter((record) => record.outcome === outcome).length;
  return {
    className,
    tier: group[0]?.tier ?? 0,
    requests: group.length,
    attainment: onTime / group.length,
    goodputPerSecond: onTime / seconds,
    wastedTokens: group.reduce((sum, record) => sum + record.wastedTokens, 0),
    notRun: countOutcome('not-run'),
    failed: countOutcome('failed') + countOutcome('unknown'),
    late: countOutcome('answered') - onTime,
  };
}

function collectCauses(records: readonly OutcomeRecord[]): CauseReport[] {
  const withCause = records.filter((record) => record.cause !== undefined);
  const groups = collectByKey(withCause, (r) => `${r.cause?.kind ?? ''}\n${r.className}`);
  const causes = [...groups.values()].flatMap((group) => {
    const first = group[0];
    if (first?.cause === undefined) return [];
    return [
      {
        cause: first.cause.kind,
        className: first.className,
        requests: group.length,
        exampleRequestId: first.requestId,
      },
    ];
  });
  return causes.sort((a, b) => b.requests - a.requests);
}

function collectByKey<T>(items: readonly T[], resolveKey: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = resolveKey(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}

/** Formats a report as two tables. */
export function formatAttainmentReport(report: AttainmentReport): string {
  const window = `${new Date(report.fromMs).toISOString()} to ${new Date(report.toMs).toISOString()}`;
  const classRows = report.classes.map((row) => [
    row.className,
    String(row.tier),
    String(row.requests),
    `${(row.attainment * 100).toFixed(1)}%`,
    row.goodputPerSecond.toFixed(2),
    String(row.wastedTokens),
    String(row.notRun),
    String(row.failed),
    String(row.late),
  ]);
  const causeRows = report.causes.map((row) => [
    row.cause,
    row.className,
    String(row.requests),
    row.exampleRequestId,
  ]);
  return [
    window,
    '',
    formatTable(
      [
        'class',
        'tier',
        'requests',
        'attainment',
        'goodput/s',
        'wasted tokens',
        'not run',
        'failed',
        'late',
      ],
      classRows,
    ),
    '',
    formatTable(['cause', 'class', 'requests', 'example'], causeRows),
  ].join('\n');
}

/** Formats rows as left-aligned columns. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return [header, ...rows].map(formatRow).join('\n');
}
