import { ServiceScaler } from '@pollendrum/policy';
import type { DesiredServers, OrderOutcome, ScalingDecision } from '@pollendrum/policy';
import type { Service, ServiceScaling } from '../bundle';
import type { DutyCallResult, DutyCalls, DutyHolder, Fence } from '../duties/types';
import type { Clock, GatewayLog } from '../log-and-clock';
import type { ScalingMetrics } from './scaling-metrics';
import { observeService } from './service-observer';
import type { ServiceObserverOptions } from './service-observer';

export interface ScalingTaskOptions extends ServiceObserverOptions {
  holder: DutyHolder;
  calls: Pick<DutyCalls, 'orderServers'>;
  clock: Clock;
  log: GatewayLog;
  metrics: ScalingMetrics;
  /** Lists the services of the configuration in force. */
  listServices(): readonly Service[];
  /** Whether the list of servers is up to date. */
  isServerListUsable(): boolean;
}

/** What is known of one order; the last one of each kind in a failure domain is kept for the log. */
interface SentOrder {
  service: string;
  order: DesiredServers;
  reason: string;
}

const TICK_MS = 1_000;
/**
 * Most orders in one tick for all services. It leaves more than half of the usual 50 calls a second to the other duties and to an
 * earlier holder whose calls are late.
 */
const MAX_ORDERS_PER_TICK = 20;

/** Orders servers for the services that ask for it, while this instance holds the duties. */
export class ScalingTask implements AsyncDisposable {
  private readonly scalers = new Map<string, ServiceScaler>();
  private readonly lastOutcomes = new Map<string, string>();
  private timer: NodeJS.Timeout | undefined;
  private token: number | undefined;
  private verification: Promise<boolean> | undefined;

  constructor(private readonly options: ScalingTaskOptions) {}

  start(): void {
    this.timer ??= setInterval(() => {
      this.runTick();
    }, TICK_MS);
  }

  /** Observes each service once and sends the orders that are due. */
  runTick(): void {
    const { holder, clock, isServerListUsable, listServices } = this.options;
    const fence = holder.getFence();
    if (fence?.token !== this.token) this.#discardKnowledge(fence);
    // A list that is out of date may lack servers, which would be ordered a second time.
    if (fence === undefined || !isServerListUsable()) return;
    const nowMs = clock();
    const due: SentOrder[] = [];
    for (const { name, scaling } of listServices()) {
      if (scaling === undefined) this.scalers.delete(name);
      else due.push(...this.#chooseOrders(name, scaling, nowMs));
    }
    for (const sent of due.slice(0, MAX_ORDERS_PER_TICK)) void this.#sendOrder(sent);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    await Promise.resolve();
  }

  /** What an earlier holder has ordered since is not known, so that a new term begins with what is present. */
  #discardKnowledge(fence: Fence | undefined): void {
    this.token = fence?.token;
    this.scalers.clear();
    this.lastOutcomes.clear();
    const { desired, present, ordered } = this.options.metrics;
    for (const gauge of [desired, present, ordered]) gauge.reset();
  }

  #chooseOrders(service: string, scaling: ServiceScaling, nowMs: number): SentOrder[] {
    const observation = observeService(this.options, service, nowMs);
    if (observation === undefined) return [];
    const scaler = this.scalers.get(service) ?? new ServiceScaler();
    this.scalers.set(service, scaler);
    const decision = scaler.chooseOrders({ bounds: scaling, ...observation }, nowMs);
    if (decision.kind === 'wait') return [];
    this.#reportCounts(service, scaler, decision);
    const { reason } = decision;
    return decision.due.map((order) => ({ service, order, reason }));
  }

  #reportCounts(
    service: string,
    scaler: ServiceScaler,
    { desired }: Extract<ScalingDecision, { kind: 'plan' }>,
  ): void {
    const { metrics } = this.options;
    for (const { failureDomain, kind, count } of desired) {
      const labels = { service, failure_domain: failureDomain, kind };
      metrics.desired.set(labels, count);
      metrics.present.set(labels, scaler.countPresent(failureDomain, kind));
      metrics.ordered.set(labels, scaler.countOrdered(failureDomain, kind));
    }
  }

  async #sendOrder(sent: SentOrder): Promise<void> {
    const { holder, calls, clock, metrics } = this.options;
    const { service, order } = sent;
    const { failureDomain, kind, count } = order;
    const scaler = this.scalers.get(service);
    const fence = holder.getFence();
    if (scaler === undefined || fence === undefined || fence.token !== this.token) return;
    scaler.recordSend(order, clock());
    const isPreemptible = kind === 'preemptible';
    const result = await calls.orderServers(fence, {
      ...{ service, failureDomain, count, isPreemptible },
    });
    const outcome = await this.#judgeResult(result, fence);
    metrics.orders.inc({ service, result: outcome });
    scaler.recordOutcome(order, outcome === 'fenced' ? 'unknown' : outcome, clock());
    this.#reportOutcome(sent, outcome, result, scaler.countPresent(failureDomain, kind));
  }

  /** A refusal means either a higher fencing token or that no such servers are to be had. */
  async #judgeResult(result: DutyCallResult, fence: Fence): Promise<OrderOutcome | 'fenced'> {
    if (result.kind !== 'refused') return result.kind;
    // One renewal answers for all orders that are refused at the same time.
    this.verification ??= this.options.holder.verifyFence(fence).finally(() => {
      this.verification = undefined;
    });
    if (await this.verification) return 'unavailable';
    this.options.holder.recordRefusal(fence);
    return 'fenced';
  }

  /** Logs each accepted order, and others when they differ from the order before. */
  #reportOutcome(
    { service, order, reason }: SentOrder,
    outcome: OrderOutcome | 'fenced',
    result: DutyCallResult,
    present: number,
  ): void {
    const { failureDomain, kind, count } = order;
    const key = `${service} ${failureDomain} ${kind}`;
    const text = `${outcome} ${count}`;
    const isNews = this.lastOutcomes.get(key) !== text;
    this.lastOutcomes.set(key, text);
    const fields = { service, failureDomain, kind, count, present, reason };
    if (outcome === 'accepted') this.options.log.info('backend servers ordered', fields);
    else if (isNews) {
      const error = result.kind === 'unknown' ? result.error : undefined;
      this.options.log.warn('order of backend servers not accepted', { ...fields, outcome, error });
    }
  }
}
