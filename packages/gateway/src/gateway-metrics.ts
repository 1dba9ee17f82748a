import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { createScalingMetrics } from './scaling/scaling-metrics';
import type { ScalingMetrics } from './scaling/scaling-metrics';
import type { LoadSpread } from './load-spread';
import { TRAFFIC_PARTIES } from './traffic-meter';
import type { TrafficMeter } from './traffic-meter';

/**
 * Bucket bounds of the latency histograms, in milliseconds. They range from the time of a plain response to the time
 * limit of a stream.
 */
const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 15_000];

/** Prometheus metrics of an instance. */
export interface GatewayMetrics {
  requests: Counter<'route' | 'outcome'>;
  attempts: Counter<'service' | 'result'>;
  firstByteMs: Histogram<'route'>;
  responseMs: Histogram<'route'>;
  openRequests: Gauge;
  serverCrashes: Counter<'service'>;
  leavingServers: Counter<'service' | 'source'>;
  serverPauses: Counter<'service'>;
  /** New eras of the store by where the instance has learnt of them, and answers discarded for their era. */
  storeEras: Counter<'source'>;
  outdatedAnswers: Counter;
  usageReports: Counter<'result'>;
  usageWindows: Counter<'result'>;
  scaling: ScalingMetrics;
  callerBounds: Counter<'bound'>;
  callerHeldBytes: Gauge;
  callerConnections: Gauge;
  /** Renders all metrics in the Prometheus text exposition format. */
  renderText(): Promise<string>;
}

/** Sources of the gauges, read when the metrics are rendered. */
export interface GatewayGauges {
  countQuarantinedTraits(): number;
  countLimitedServers(): number;
  getStoreEra(): number;
  /** Fencing token under which the instance holds the duties; 0 if it does not. */
  getDutyToken(): number;
  /** Last window of usage of which the instance's report was accepted; 0 if there is none. */
  getLastReportedWindow(): number;
  listSpreads(): readonly LoadSpread[];
}

/** Creates the metrics in a new registry. */
export function createGatewayMetrics(traffic: TrafficMeter, gauges: GatewayGauges): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  createTrafficCounter(registry, traffic);
  createSpreadGauges(registry, gauges.listSpreads);
  createCountGauge(registry, gauges.countQuarantinedTraits, {
    name: 'pollendrum_quarantined_traits',
    help: 'Traits of requests that are held back because they crash backend servers.',
  });
  createCountGauge(registry, gauges.countLimitedServers, {
    name: 'pollendrum_limited_servers',
    help: 'Backend servers that name a limit in their answers.',
  });
  createCountGauge(registry, gauges.getStoreEra, {
    name: 'pollendrum_store_era',
    help: 'Era of the store; it rises when the store returns from a backup. 0 for a store without eras.',
  });
  createCountGauge(registry, () => (gauges.getDutyToken() === 0 ? 0 : 1), {
    name: 'pollendrum_duty_holder',
    help: 'Whether the instance holds the duties, 1 or 0.',
  });
  createCountGauge(registry, gauges.getDutyToken, {
    name: 'pollendrum_duty_token',
    help: 'Fencing token under which the instance holds the duties; 0 if it does not.',
  });
  createCountGauge(registry, gauges.getLastReportedWindow, {
    name: 'pollendrum_usage_last_window',
    help: 'Last window of usage of which a report of this instance was accepted; 0 if there is none.',
  });
  return {
    requests: new Counter({
      name: 'pollendrum_requests_total',
      help: 'Requests by route and outcome.',
      labelNames: ['route', 'outcome'],
      registers,
    }),
    attempts: new Counter({
      name: 'pollendrum_attempts_total',
      help: 'Sends to backend servers by service and result.',
      labelNames: ['service', 'result'],
      registers,
    }),
    firstByteMs: new Histogram({
      name: 'pollendrum_first_byte_ms',
      help: 'Time from arrival to the first byte of the answer, in milliseconds.',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    }),
    responseMs: new Histogram({
      name: 'pollendrum_answer_ms',
      help: 'Time from arrival to the end of the answer, in milliseconds.',
      labelNames: ['route'],
      buckets: LATENCY_BUCKETS_MS,
      registers,
    }),
    openRequests: new Gauge({
      name: 'pollendrum_open_requests',
      help: 'Requests that have arrived and have no complete answer.',
      registers,
    }),
    serverCrashes: new Counter({
      name: 'pollendrum_server_crashes_total',
      help: 'Attempts whose backend server ended before the answer began, by service.',
      labelNames: ['service'],
      registers,
    }),
    serverPauses: new Counter({
      name: 'pollendrum_server_pauses_total',
      help: 'Answers in which backend servers ask for a pause, by service.',
      labelNames: ['service'],
      registers,
    }),
    storeEras: new Counter({
      name: 'pollendrum_store_eras_total',
      help: 'Changes of the era of the store, by whether the store or another instance has shown them first.',
      labelNames: ['source'],
      registers,
    }),
    outdatedAnswers: new Counter({
      name: 'pollendrum_outdated_store_answers_total',
      help: 'Answers of the store that were discarded since they name an earlier era.',
      registers,
    }),
    usageReports: new Counter({
      name: 'pollendrum_usage_reports_total',
      help: 'Calls that report the usage of a window, by result.',
      labelNames: ['result'],
      registers,
    }),
    usageWindows: new Counter({
      name: 'pollendrum_usage_windows_total',
      help: 'Windows of usage by whether they were recorded to be reported or omitted.',
      labelNames: ['result'],
      registers,
    }),
    leavingServers: new Counter({
      name: 'pollendrum_leaving_servers_total',
      help: 'Backend servers of which the instance has heard that they leave, by service and first source.',
      labelNames: ['service', 'source'],
      registers,
    }),
    scaling: createScalingMetrics(registry),
    callerBounds: new Counter({
      name: 'pollendrum_caller_bounds_total',
      help: 'Requests refused and connections closed because of a bound on callers, by bound.',
      labelNames: ['bound'],
      registers,
    }),
    callerHeldBytes: new Gauge({
      name: 'pollendrum_caller_held_bytes',
      help: "Memory taken by callers' requests, in bytes.",
      registers,
    }),
    callerConnections: new Gauge({
      name: 'pollendrum_caller_connections',
      help: 'Open connections of callers.',
      registers,
    }),
    renderText: () => registry.metrics(),
  };
}

function createTrafficCounter(registry: Registry, traffic: TrafficMeter): void {
  const counter = new Counter({
    name: 'pollendrum_traffic_bytes_total',
    help: 'Bytes by party and direction, without the headers of TCP, UDP and IP.',
    labelNames: ['party', 'direction'],
    registers: [registry],
    collect: () => {
      counter.reset();
      for (const party of TRAFFIC_PARTIES) {
        const bytes = traffic.readBytes(party);
        counter.inc({ party, direction: 'received' }, bytes.received);
        counter.inc({ party, direction: 'sent' }, bytes.sent);
      }
    },
  });
}

/** Metrics of the spread of load. They are rendered in this order, so all are set when the first is read. */
function createSpreadGauges(registry: Registry, listSpreads: () => readonly LoadSpread[]): void {
  const registers = [registry];
  const reportAge = new Gauge({
    name: 'pollendrum_load_report_age_ms',
    help: 'Estimated age of what the instance knows of the requests of other instances, in milliseconds.',
    labelNames: ['service'],
    registers,
    collect: () => {
      for (const gauge of [reportAge, streams, requests, servers]) gauge.reset();
      for (const spread of listSpreads()) {
        const { service } = spread;
        reportAge.set({ service }, spread.reportAgeMs);
        streams.inc({ service, choice: 'evened-out' }, spread.evenedOutStreams);
        streams.inc(
          { service, choice: 'cheapest' },
          spread.placedStreams - spread.evenedOutStreams,
        );
        requests.set({ service, statistic: 'mean' }, spread.meanRequests);
        requests.set({ service, statistic: 'most' }, spread.mostRequests);
        servers.set({ service, load: 'idle' }, spread.idleServers);
        servers.set({ service, load: 'queued' }, spread.queuedServers);
      }
    },
  });
  const streams = new Counter({
    name: 'pollendrum_placed_streams_total',
    help: 'Streams by service and whether they went to the cheapest server or were evened out to another.',
    labelNames: ['service', 'choice'],
    registers,
  });
  const requests = new Gauge({
    name: 'pollendrum_server_requests',
    help: 'Requests in progress at a backend server, from all instances: mean and most at one server.',
    labelNames: ['service', 'statistic'],
    registers,
  });
  const servers = new Gauge({
    name: 'pollendrum_servers_by_load',
    help: 'Backend servers without a request (idle), and with at least two that wait (queued).',
    labelNames: ['service', 'load'],
    registers,
  });
}

function createCountGauge(
  registry: Registry,
  count: () => number,
  description: { name: string; help: string },
): void {
  const gauge = new Gauge({
    ...description,
    registers: [registry],
    collect: () => {
      gauge.set(count());
    },
  });
}
