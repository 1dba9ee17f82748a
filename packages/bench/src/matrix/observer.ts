import { setTimeout as sleep } from 'node:timers/promises';
import type { AttemptLogEntry, OrderLog, OrderRun } from '@pollendrum/stand-ins';
import { request } from 'undici';
import type { Fleet, FleetMember } from './fleet';
import { getJson } from './http';
import { MODEL_NAME } from './operators';
import type { Traffic } from './traffic';

const POLL_INTERVAL_MS = 100;
const POLL_TIMEOUT_MS = 800;

/** The bundle that callers of an instance saw in force, by the marker model of the bundle. */
export interface MarkerSighting {
  instanceId: string;
  marker: string;
  /** Unix time in milliseconds. */
  seenAtMs: number;
}

/** Reads the logs of the stand-ins and what callers see of each instance. */
export class Observer {
  /** Last log read from each backend server; that of a killed one stays. */
  readonly attempts = new Map<string, AttemptLogEntry[]>();
  readonly orders = new Map<string, OrderRun[]>();
  readonly sightings: MarkerSighting[] = [];
  private isStopped = false;

  constructor(
    private readonly fleet: Fleet,
    private readonly traffic: Traffic,
  ) {}

  /** Polls until `stop`. */
  async run(): Promise<void> {
    await Promise.all(this.fleet.members.map((member) => this.watchMember(member)));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Reads the member's log once more; used right before it is killed. */
  async refreshMember(member: FleetMember): Promise<void> {
    switch (member.role) {
      case 'engine': {
        const log = await getJson<{ attempts: AttemptLogEntry[] }>(
          `${member.url}/admin/log`,
          {},
          POLL_TIMEOUT_MS,
        );
        this.attempts.set(member.id, log.attempts);
        return;
      }
      case 'service': {
        const log = await getJson<OrderLog>(`${member.url}/admin/log`, {}, POLL_TIMEOUT_MS);
        this.orders.set(member.id, log.orders);
        return;
      }
      case 'instance':
        await this.readInstance(member);
        return;
      case 'platform':
        return;
    }
  }

  /** The marker that was last seen on an instance. */
  getMarker(instanceId: string): string | undefined {
    return this.sightings.findLast((sighting) => sighting.instanceId === instanceId)?.marker;
  }

  /** The engine that has an attempt whose prompt has this length. */
  findEngine(promptTokens: number): FleetMember | undefined {
    for (const [id, attempts] of this.attempts) {
      if (attempts.some((attempt) => attempt.promptTokens === promptTokens)) {
        return this.fleet.getMember(id);
      }
    }
    return undefined;
  }

  findService(idempotencyKey: string): FleetMember | undefined {
    for (const [id, orders] of this.orders) {
      if (orders.some((order) => order.idempotencyKey === idempotencyKey)) {
        return this.fleet.getMember(id);
      }
    }
    return undefined;
  }

  private async watchMember(member: FleetMember): Promise<void> {
    while (!this.isStopped) {
      // A killed or frozen process does not answer; what was read before stays.
      if (member.endedAtMs === undefined) await this.refreshMember(member).catch(() => undefined);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private async readInstance(member: FleetMember): Promise<void> {
    const isReady = await isInstanceReady(member);
    // Killed while it was asked; the balancer has taken it out for good.
    if (member.endedAtMs !== undefined) return;
    if (isReady) this.traffic.unready.delete(member.id);
    else this.traffic.unready.add(member.id);
    const headers = { authorization: `Bearer ${this.fleet.operators.teamKey}` };
    const url = `${member.url}/v1/models`;
    const { data } = await getJson<{ data: { id: string }[] }>(url, headers, POLL_TIMEOUT_MS);
    const marker = data.find(({ id }) => id !== MODEL_NAME)?.id;
    if (marker === undefined || marker === this.getMarker(member.id)) return;
    this.sightings.push({ instanceId: member.id, marker, seenAtMs: Date.now() });
  }
}

/** As the balancer asks: ready unless it answers otherwise or has gone; a slow one stays in. */
export async function isInstanceReady(member: FleetMember): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(POLL_TIMEOUT_MS);
    const response = await request(`${member.url}/readyz`, { signal, reset: true });
    await response.body.dump();
    return response.statusCode === 200;
  } catch (error) {
    return (error as { name?: string }).name === 'TimeoutError';
  }
}
