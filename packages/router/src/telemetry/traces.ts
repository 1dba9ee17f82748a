import {
  ROOT_CONTEXT,
  SpanStatusCode,
  defaultTextMapGetter,
  defaultTextMapSetter,
  trace,
} from '@opentelemetry/api';
import type { Context, Span, Tracer } from '@opentelemetry/api';
import { ExportResultCode, W3CTraceContextPropagator } from '@opentelemetry/core';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type { SpanExporter } from '@opentelemetry/sdk-trace-base';
import type { TraceSpan, LogPort, TracePort } from '../ports';
import { RateLimitedWarning } from './rate-limited-warning';

/** TracePort and its exporter; disposal exports the remaining spans. */
export interface Traces extends AsyncDisposable {
  port: TracePort;
}

export interface TraceOptions {
  instanceId: string;
  /** URL of the OTLP/HTTP collector; if undefined, no spans are recorded. */
  otlpUrl: string | undefined;
  /** Share of traces without a parent that are sampled, from 0 to 1. */
  sampleRatio: number;
  log: LogPort;
}

const EXPORT_TIMEOUT_MS = 5_000;
const SHUTDOWN_TIMEOUT_MS = 2_000;
const MAX_QUEUED_SPANS = 2_048;
const propagator = new W3CTraceContextPropagator();

/**
 * Creates traces that are exported to a collector in batches. Without a collector, only the incoming
 * trace headers are propagated.
 */
export function createTraces(options: TraceOptions): Traces {
  const { otlpUrl, log, instanceId } = options;
  if (otlpUrl === undefined) return createPropagatingTraces();
  const exporter = new OTLPTraceExporter({ url: otlpUrl, timeoutMillis: EXPORT_TIMEOUT_MS });
  const processor = new BatchSpanProcessor(createFailureLoggingExporter(exporter, log), {
    maxQueueSize: MAX_QUEUED_SPANS,
    exportTimeoutMillis: EXPORT_TIMEOUT_MS,
  });
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'pollendrum',
      'service.instance.id': instanceId,
    }),
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.sampleRatio) }),
    spanProcessors: [processor],
  });
  const tracer = provider.getTracer('pollendrum');
  return {
    port: {
      startRequestSpan: (name, headers) => {
        const parent = propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter);
        return new TracedSpan(tracer, name, parent);
      },
    },
    async [Symbol.asyncDispose]() {
      const timeout = new Promise((resolve) => setTimeout(resolve, SHUTDOWN_TIMEOUT_MS).unref());
      await Promise.race([provider.shutdown().catch(() => undefined), timeout]);
    },
  };
}

/**
 * Wraps an exporter: failures are logged at a limited rate and reported as success to the span
 * processor. Spans are lost while the collector is unavailable, but requests are not delayed and the
 * log is not flooded.
 */
function createFailureLoggingExporter(exporter: SpanExporter, log: LogPort): SpanExporter {
  const warning = new RateLimitedWarning(log, 'could not export spans');
  return {
    export: (spans, handleResult) => {
      exporter.export(spans, (result) => {
        if (result.code === ExportResultCode.FAILED) {
          warning.report(result.error?.message ?? 'export failed');
        }
        handleResult({ code: ExportResultCode.SUCCESS });
      });
    },
    shutdown: async () => {
      await exporter.shutdown();
    },
  };
}

class TracedSpan implements TraceSpan {
  readonly #span: Span;
  readonly #context: Context;

  constructor(
    readonly tracer: Tracer,
    name: string,
    parent: Context,
  ) {
    this.#span = tracer.startSpan(name, {}, parent);
    this.#context = trace.setSpan(parent, this.#span);
  }

  setAttribute(name: string, value: string | number | boolean): void {
    this.#span.setAttribute(name, value);
  }

  injectHeaders(): Record<string, string> {
    const headers: Record<string, string> = {};
    propagator.inject(this.#context, headers, defaultTextMapSetter);
    return headers;
  }

  startChild(name: string): TraceSpan {
    return new TracedSpan(this.tracer, name, this.#context);
  }

  fail(message: string): void {
    this.#span.setStatus({ code: SpanStatusCode.ERROR, message });
  }

  [Symbol.dispose](): void {
    this.#span.end();
  }
}

/** Span used when nothing is recorded; propagates the incoming trace headers unchanged. */
class PassThroughSpan implements TraceSpan {
  constructor(readonly headers: Record<string, string>) {}

  setAttribute(): void {
    return;
  }

  injectHeaders(): Record<string, string> {
    return this.headers;
  }

  startChild(): TraceSpan {
    return this;
  }

  fail(): void {
    return;
  }

  [Symbol.dispose](): void {
    return;
  }
}

function createPropagatingTraces(): Traces {
  const emptySpan = new PassThroughSpan({});
  return {
    port: {
      startRequestSpan: (_name, headers) => {
        const { traceparent, tracestate } = headers;
        if (typeof traceparent !== 'string') return emptySpan;
        return new PassThroughSpan({
          traceparent,
          ...(typeof tracestate === 'string' ? { tracestate } : {}),
        });
      },
    },
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
    },
  };
}
