import { bench, describe } from 'vitest';
import {
  chooseOwner,
  DEFAULT_ENGINE_PROFILE,
  LoadTable,
  NO_PLACED_LOAD,
  PrefixCacheTracker,
  PromptLengthPartition,
  SpeedTracker,
  type Scheduler,
} from '../src/index';
import type { Chooser } from './placement/fleet-simulation';
import { PLAN } from './placement/placement-fixture';
import { makeLowestCost, makeSampledLevel } from './placement/placement-ways';
import { createTestScheduler, makeClass, makeRequest, makeServer } from './fixtures';

const WAITING = 10_000;
const TEAMS = 500;
const CLASSES = ['quick', 'mid', 'bulk'].map((name, tier) =>
  makeClass(name, { tier, floorPercent: 10, preference: 'goodput', maxQueueMs: 10_000_000 }),
);

/** Creates a shard of 16 servers with 16 slots each, all in use, and 10,000 waiting requests. */
function createFullScheduler(): Scheduler {
  const servers = Array.from({ length: 16 }, (_, index) => makeServer(`s${index}`, 16));
  const scheduler = createTestScheduler({ classes: CLASSES, servers, queueLimit: WAITING });
  for (let index = 0; index < WAITING + 256; index += 1) addRequest(scheduler, index);
  scheduler.takeDecisions(0);
  for (let index = 0; index < 256; index += 1) addRequest(scheduler, WAITING + 256 + index);
  scheduler.takeDecisions(0);
  return scheduler;
}

function addRequest(scheduler: Scheduler, index: number): void {
  scheduler.enqueue(
    makeRequest(`r${index}`, {
      className: CLASSES[index % 3]?.name ?? '',
      team: `team-${index % TEAMS}`,
      prefixHash: index % 100,
      excludedServerIds: index % 10 === 0 ? [`s${index % 16}`] : [],
      arrivedAtMs: index,
    }),
    0,
  );
}

describe('scheduler with 10,000 waiting requests and 16 servers', () => {
  const scheduler = createFullScheduler();
  const running = scheduler.listGranted();
  let created = 1_000_000;

  bench('finish, enqueue and one decision', () => {
    scheduler.finish(
      { attemptId: running.shift() ?? '', result: 'completed', outputTokens: 50 },
      1,
    );
    created += 1;
    addRequest(scheduler, created);
    for (const decision of scheduler.takeDecisions(1)) {
      if (decision.kind === 'grant') running.push(decision.attemptId);
    }
  });
});

describe('rendezvous', () => {
  const instances = Array.from({ length: 530 }, (_, index) => `instance-${index}`);
  const keys = Array.from({ length: 7500 }, (_, index) => `server-${index}`);

  bench('7,500 keys over 530 instances', () => {
    for (const key of keys) chooseOwner(key, instances);
  });
});

const PEERS = 38;

/** An instance whose peers have reported load at all servers, 4 of which have a shared part of the plan cached. */
function makeChooser(servers: number): Chooser {
  const serverIds = Array.from({ length: servers }, (_, index) => `server-${index}`);
  const partition = new PromptLengthPartition();
  const [loads, prefixes, speeds] = [new LoadTable(), new PrefixCacheTracker(), new SpeedTracker()];
  const load = { ...NO_PLACED_LOAD, waiting: 1, streaming: 1, longShare: 0.01, dueInMs: 50 };
  for (let peer = 0; peer < PEERS; peer += 1) {
    const reported = serverIds.filter((_, index) => index % PEERS === peer % servers);
    loads.mergePeerReport(`peer-${peer}`, new Map(reported.map((id) => [id, load])), 0);
  }
  for (const id of serverIds) speeds.recordPause(id, 21, 0);
  const kvCache = { kvTokens: DEFAULT_ENGINE_PROFILE.kvTokens, heldTokens: 0 };
  for (const id of serverIds.slice(0, 4)) prefixes.record(id, PLAN.parts.slice(0, -1), kvCache, 0);
  return {
    ...{ id: 'entry-0', loads, prefixes, speeds, partition, serverIds, peerFactor: 1 },
    options: {
      ...{ partition, profile: DEFAULT_ENGINE_PROFILE },
      ...{ firstEventOverheadMs: 0, tightestPauseTargetMs: 200 },
    },
  };
}

describe.each([10, 98, 980])('a stream is placed on one of %i servers', (servers) => {
  const chooser = makeChooser(servers);
  const chooseLowest = makeLowestCost();
  const chooseSampled = makeSampledLevel();

  bench('all servers', () => {
    chooseLowest(chooser, PLAN, 500, Math.random);
  });
  bench('a sample', () => {
    chooseSampled(chooser, PLAN, 500, Math.random);
  });
});
