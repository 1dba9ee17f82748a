import { createScheduler, type Scheduler, type SchedulingClass } from '@pollendrum/policy';
import { measureHeapBytes } from './heap';
import { createFigure, type Figure, type Measurement } from './measurement';

const WAITING_COUNTS = [100, 1_000, 10_000];
const SERVERS = 16;
const SLOTS = 16;
const TEAMS = 500;
const DECISIONS = 5_000;
const KILOBYTE = 1_000;
const CLASSES: SchedulingClass[] = ['quick', 'mid', 'bulk'].map((name, tier) => ({
  ...{ name, tier, floorPercent: 10, preference: 'goodput' },
  ...{ targetFirstByteMs: 1_300, maxQueueMs: 10_000_000 },
}));

/** Cost of one finish, enqueue and decision by the number of waiting requests. */
export const scheduler: Measurement = {
  description: 'scheduler of a shard with 16 servers: one finish, enqueue and decision',
  run: () => Promise.resolve(WAITING_COUNTS.flatMap(measureWaiting)),
};

function measureWaiting(waiting: number): Figure[] {
  const emptyBytes = measureHeapBytes();
  const shard = createScheduler({ queueLimit: waiting + SERVERS * SLOTS });
  shard.updateClasses(CLASSES);
  shard.updateServers(
    Array.from({ length: SERVERS }, (_, index) => ({
      ...{ id: `s${index}`, slots: SLOTS, failureDomain: 'a', isLeaving: false },
    })),
    0,
  );
  let created = 0;
  while (created < waiting + SERVERS * SLOTS) addRequest(shard, created++);
  shard.takeDecisions(0);
  const heapBytes = measureHeapBytes() - emptyBytes;
  const running = shard.listGranted();
  const startedAt = process.cpuUsage();
  for (let count = 0; count < DECISIONS; count += 1) {
    const attemptId = running.shift() ?? '';
    shard.finish({ attemptId, result: 'completed', outputTokens: 250 }, count / 100);
    addRequest(shard, created++);
    for (const decision of shard.takeDecisions(count / 100)) {
      if (decision.kind === 'grant') running.push(decision.attemptId);
    }
  }
  const used = process.cpuUsage(startedAt);
  const add = (name: string, value: number, unit: string) =>
    createFigure(`waiting=${waiting} ${name}`, value, unit);
  return [
    add('decision', (used.user + used.system) / DECISIONS, 'us'),
    add('heap a request', heapBytes / created / KILOBYTE, 'kB'),
  ];
}

function addRequest(shard: Scheduler, index: number): void {
  const attemptId = `r${index}`;
  shard.enqueue(
    {
      ...{ attemptId, requestId: attemptId, fingerprint: `hash-${index}`, failureDomain: 'a' },
      ...{ className: CLASSES[index % CLASSES.length]?.name ?? '', team: `team-${index % TEAMS}` },
      ...{ prefixHash: index % 100, promptTokens: 500, maxOutputTokens: 0 },
      ...{ arrivedAtMs: 0, expiresAtMs: 10_000_000, isRetry: false },
      excludedServerIds: index % 10 === 0 ? [`s${index % SERVERS}`] : [],
    },
    0,
  );
}
