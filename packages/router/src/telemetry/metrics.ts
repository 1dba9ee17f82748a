import { StatsD } from 'hot-shots';
import type { LogPort, MetricsPort } from '../ports';
import { RateLimitedWarning } from './rate-limited-warning';

/** MetricsPort and its StatsD client; disposal flushes and closes the client. */
export interface Metrics extends AsyncDisposable {
  port: MetricsPort;
}

const METRIC_PREFIX = 'pollendrum.';
const DEFAULT_STATSD_PORT = 8_125;
const MAX_BUFFER_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 500;

/** Creates metrics that are sent to a StatsD server over UDP, or discarded if there is no address. */
export function createMetrics(address: string | undefined, log: LogPort): Metrics {
  if (address === undefined) return createNoopMetrics();
  const warning = new RateLimitedWarning(log, 'could not send metrics');
  const separator = address.lastIndexOf(':');
  const host = separator < 0 ? address : address.slice(0, separator);
  const statsdPort = separator < 0 ? DEFAULT_STATSD_PORT : Number(address.slice(separator + 1));
  const client = new StatsD({
    host,
    port: statsdPort,
    prefix: METRIC_PREFIX,
    maxBufferSize: MAX_BUFFER_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: (error) => {
      warning.report(error.message);
    },
  });
  return {
    port: {
      increment: (name, tags, value = 1) => {
        client.increment(name, value, tags);
      },
      gauge: (name, value, tags) => {
        client.gauge(name, value, tags);
      },
      timing: (name, valueMs, tags) => {
        client.timing(name, valueMs, tags);
      },
    },
    async [Symbol.asyncDispose]() {
      await new Promise<void>((resolve) => {
        client.close(() => {
          resolve();
        });
      });
    },
  };
}

function createNoopMetrics(): Metrics {
  const discard = () => undefined;
  return {
    port: { increment: discard, gauge: discard, timing: discard },
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
    },
  };
}
