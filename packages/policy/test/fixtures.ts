import {
  createScheduler,
  type Decision,
  type QueuedRequest,
  type Scheduler,
  type SchedulerOptions,
  type SchedulingClass,
  type ShardServer,
} from '../src/index';

export function makeClass(name: string, fields: Partial<SchedulingClass> = {}): SchedulingClass {
  return {
    name,
    tier: 0,
    floorPercent: 0,
    preference: 'attainment',
    targetFirstByteMs: 1000,
    maxQueueMs: 5000,
    ...fields,
  };
}

export function makeServer(id: string, slots: number, fields: Partial<ShardServer> = {}) {
  return { id, slots, failureDomain: 'a', isLeaving: false, ...fields };
}

export function makeRequest(attemptId: string, fields: Partial<QueuedRequest> = {}): QueuedRequest {
  return {
    attemptId,
    requestId: attemptId,
    className: 'quick',
    team: 'team-1',
    fingerprint: `hash-${attemptId}`,
    prefixHash: 0,
    promptTokens: 10,
    maxOutputTokens: 0,
    arrivedAtMs: 0,
    expiresAtMs: 1_000_000,
    excludedServerIds: [],
    isRetry: false,
    failureDomain: 'a',
    ...fields,
  };
}

export interface SchedulerSetup extends SchedulerOptions {
  classes?: SchedulingClass[];
  servers?: ShardServer[];
}

export function createTestScheduler(setup: SchedulerSetup = {}): Scheduler {
  const { classes = [makeClass('quick')], servers = [makeServer('s1', 1)], ...options } = setup;
  const scheduler = createScheduler(options);
  scheduler.updateClasses(classes);
  scheduler.updateServers(servers, 0);
  return scheduler;
}

/** Formats decisions as `attemptId>serverId` for grants and `attemptId:cause` for sheds. */
export function formatDecisions(decisions: readonly Decision[]): string[] {
  return decisions.map((decision) =>
    decision.kind === 'grant'
      ? `${decision.attemptId}>${decision.serverId}`
      : `${decision.attemptId}:${decision.cause.kind}`,
  );
}
