import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { LoadOutcome } from './outcome';

export type RequestKind = 'chat' | 'order';

/** Distribution of a time, in milliseconds. */
export interface Percentiles {
  count: number;
  mean: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Requests of one kind that failed in the same way. */
export interface FailureCount {
  request: RequestKind;
  status: number | undefined;
  code: string;
  count: number;
}

/** An order that was sent, for comparison with the log of the service. */
export interface SentOrder {
  idempotencyKey: string;
  outcome: LoadOutcome['kind'];
}

/** What the load tool saw. */
export interface LoadResult {
  /** From the first request to the last answer, in milliseconds. */
  elapsedMs: number;
  sent: number;
  answered: number;
  mismatched: number;
  failed: FailureCount[];
  /** Tokens that arrived, those of failed answers included. */
  tokens: number;
  /** From the time the request was due until its first token. */
  firstTokenMs: Percentiles;
  /** Between two tokens of an answer. */
  tokenGapMs: Percentiles;
  /** From the time the order was due until its whole answer. */
  orderMs: Percentiles;
  orders: SentOrder[];
}

const MICROSECONDS_PER_MS = 1000;
const MAX_TRACKED_MICROSECONDS = 3_600_000_000;

/** Collects times with three significant digits. */
export class TimeHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });

  recordMs(valueMs: number): void {
    this.histogram.recordValue(Math.max(0, Math.round(valueMs * MICROSECONDS_PER_MS)));
  }

  summarize(): Percentiles {
    const toMs = (value: number) => Math.round(value) / MICROSECONDS_PER_MS;
    const { histogram } = this;
    const isEmpty = histogram.totalCount === 0;
    return {
      count: histogram.totalCount,
      mean: isEmpty ? 0 : toMs(histogram.mean),
      p50: toMs(histogram.getValueAtPercentile(50)),
      p95: toMs(histogram.getValueAtPercentile(95)),
      p99: toMs(histogram.getValueAtPercentile(99)),
      max: toMs(histogram.maxValue),
    };
  }
}

/** Collects outcomes and times of a run. */
export class LoadRecorder {
  readonly firstToken = new TimeHistogram();
  readonly tokenGap = new TimeHistogram();
  readonly order = new TimeHistogram();
  tokens = 0;
  private readonly startedMs = performance.now();
  private sent = 0;
  private answered = 0;
  private mismatched = 0;
  private readonly failures = new Map<string, FailureCount>();
  private readonly orders: SentOrder[] = [];

  recordOutcome(request: RequestKind, outcome: LoadOutcome): void {
    this.sent += 1;
    switch (outcome.kind) {
      case 'answered':
        this.answered += 1;
        return;
      case 'mismatched':
        this.mismatched += 1;
        return;
      case 'failed':
        this.recordFailure(request, outcome.status, outcome.code);
        return;
    }
  }

  recordOrder(order: SentOrder): void {
    this.orders.push(order);
  }

  buildResult(): LoadResult {
    return {
      elapsedMs: Math.round(performance.now() - this.startedMs),
      sent: this.sent,
      answered: this.answered,
      mismatched: this.mismatched,
      failed: [...this.failures.values()],
      tokens: this.tokens,
      firstTokenMs: this.firstToken.summarize(),
      tokenGapMs: this.tokenGap.summarize(),
      orderMs: this.order.summarize(),
      orders: this.orders,
    };
  }

  private recordFailure(request: RequestKind, status: number | undefined, code: string): void {
    const key = `${request} ${status?.toString() ?? ''} ${code}`;
    const failure = this.failures.get(key);
    if (failure) failure.count += 1;
    else this.failures.set(key, { request, status, code, count: 1 });
  }
}
