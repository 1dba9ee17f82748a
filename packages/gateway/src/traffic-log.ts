import type { GatewayLog } from './log-and-clock';
import { TRAFFIC_PARTIES } from './traffic-meter';
import type { TrafficBytes, TrafficMeter, TrafficParty } from './traffic-meter';

/** Interval of the log line, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Logs the bytes per second at a fixed interval, so that a full link can be told from a slow process. */
export class TrafficLog implements Disposable {
  private readonly timer: NodeJS.Timeout;
  private previous: Record<TrafficParty, TrafficBytes>;

  constructor(
    private readonly meter: TrafficMeter,
    private readonly log: GatewayLog,
  ) {
    this.previous = readAll(meter);
    this.timer = setInterval(() => {
      this.#writeLine();
    }, LOG_INTERVAL_MS);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  #writeLine(): void {
    const current = readAll(this.meter);
    const previous = this.previous;
    this.previous = current;
    const rates = TRAFFIC_PARTIES.map((party) => [
      party,
      {
        received: toBytesPerSecond(current[party].received - previous[party].received),
        sent: toBytesPerSecond(current[party].sent - previous[party].sent),
      },
    ]);
    this.log.info('bytes per second', Object.fromEntries(rates) as Record<string, unknown>);
  }
}

function readAll(meter: TrafficMeter): Record<TrafficParty, TrafficBytes> {
  return {
    caller: meter.readBytes('caller'),
    backend: meter.readBytes('backend'),
    peer: meter.readBytes('peer'),
    store: meter.readBytes('store'),
    platform: meter.readBytes('platform'),
  };
}

function toBytesPerSecond(bytes: number): number {
  return Math.round((bytes * MS_PER_SECOND) / LOG_INTERVAL_MS);
}
