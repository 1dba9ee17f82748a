import type { Settings } from '@pollendrum/protocol';
import type { TelemetryPort } from '../ports';
import { createLog } from './logs';
import { createMetrics } from './metrics';
import { createTraces } from './traces';

/** Creates the log, the metrics and the traces that the settings configure. */
export function createTelemetry(settings: Settings): TelemetryPort {
  const log = createLog(settings.logLevel ?? 'info', settings.instanceId);
  const metrics = createMetrics(settings.statsdAddress, log);
  const traces = createTraces({
    instanceId: settings.instanceId,
    otlpUrl: settings.otlpUrl,
    sampleRatio: settings.traceSampleRatio ?? 1,
    log,
  });
  return {
    log,
    metrics: metrics.port,
    trace: traces.port,
    async [Symbol.asyncDispose]() {
      await Promise.allSettled([metrics[Symbol.asyncDispose](), traces[Symbol.asyncDispose]()]);
    },
  };
}
