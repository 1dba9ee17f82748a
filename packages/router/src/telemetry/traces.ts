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

/** Traces with the way to end them. */
export interface Traces extends AsyncDisposable {
  port: TracePort;
}

export interface TraceOptions {
  instanceId: string;
  /** OTLP/HTTP collector; undefined: no spans are made. */
  otlpUrl: string | undefined;
  /** From 0 to 1. */
  sampleRatio: number;
  log: LogPort;
}

const EXPORT_TIMEOUT_MS = 5_000;
const SHUTDOWN_TIMEOUT_MS = 2_000;
const QUEUE_SPANS = 2_048;
const propagator = new W3CTraceContextPropagator();

/** Creates traces that go to a collector in batches, or only pass on incoming trace headers. */
export function createTraces(options: TraceOptions): Traces {
  const { otlpUrl, log, instanceId } = options;
  if (otlpUrl === undefined) return createNoTraces();
  const exporter = new OTLPTraceExporter({ url: otlpUrl, timeoutMillis: EXPORT_TIMEOUT_MS });
  const processor = new BatchSpanProcessor(createWatchedExporter(exporter, log), {
    maxQueueSize: QUEUE_SPANS,
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
      const limit = new Promise((resolve) => setTimeout(resolve, SHUTDOWN_TIMEOUT_MS).unref());
      await Promise.race([provider.shutdown().catch(() => undefined), limit]);
    },
  };
}

/** A collector that does not answer loses spans; it must neither slow requests nor fill the log. */
function createWatchedExporter(exporter: SpanExporter, log: LogPort): SpanExporter {
  const warning = new RateLimitedWarning(log, 'traces were not sent');
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

/** Stands for all spans when nothing is traced; passes the incoming trace headers on. */
class PassedSpan implements TraceSpan {
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

function createNoTraces(): Traces {
  const silent = new PassedSpan({});
  return {
    port: {
      startRequestSpan: (_name, headers) => {
        const { traceparent, tracestate } = headers;
        if (typeof traceparent !== 'string') return silent;
        return new PassedSpan({
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
