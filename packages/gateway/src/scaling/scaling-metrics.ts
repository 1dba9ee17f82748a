import { Counter, Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

type ServerLabel = 'service' | 'failure_domain' | 'kind';

/** Metrics of the instance that orders servers; at others they have no values. */
export interface ScalingMetrics {
  desired: Gauge<ServerLabel>;
  present: Gauge<ServerLabel>;
  ordered: Gauge<ServerLabel>;
  orders: Counter<'service' | 'result'>;
}

export function createScalingMetrics(registry: Registry): ScalingMetrics {
  const createGauge = (name: string, help: string) =>
    new Gauge<ServerLabel>({
      ...{ name, help },
      labelNames: ['service', 'failure_domain', 'kind'],
      registers: [registry],
    });
  return {
    desired: createGauge(
      'pollendrum_servers_desired',
      'Backend servers that a service is to have, at the instance that orders them.',
    ),
    present: createGauge(
      'pollendrum_servers_present',
      'Backend servers that take requests, at the instance that orders them.',
    ),
    ordered: createGauge(
      'pollendrum_servers_ordered',
      'Backend servers in the last accepted order, or present before it, at the instance that orders them.',
    ),
    orders: new Counter({
      name: 'pollendrum_server_orders_total',
      help: 'Orders of backend servers by service and result.',
      labelNames: ['service', 'result'],
      registers: [registry],
    }),
  };
}
