import {
  choosePlacement,
  DEFAULT_ENGINE_PROFILE,
  PromptLengthPartition,
  LoadTable,
  NO_PLACED_LOAD,
} from '@pollendrum/policy';
import type { ReportedLoad } from '@pollendrum/policy';
import { createFigure, type Figure, type Measurement } from './measurement';

/** Instances and servers of one model: today, the grown deployments, the design size with 6 models. */
const SIZES = [
  { instances: 9, servers: 8 },
  { instances: 84, servers: 78 },
  { instances: 530, servers: 1_250 },
];
const DECISIONS = 300;
const REPORTED_SERVERS = 40;
const REPORTED_LOAD: ReportedLoad = {
  ...NO_PLACED_LOAD,
  ...{ queuedPrefillMs: 40, waiting: 1, streaming: 2, shortShare: 0.02, dueInMs: undefined },
};

/** Cost of placing one stream and of taking in one load report. */
export const placement: Measurement = {
  description: 'placement of a stream, and a load report of a peer, by instances and servers',
  run: () => Promise.resolve(SIZES.flatMap(measureSize)),
};

function measureSize({ instances, servers }: { instances: number; servers: number }): Figure[] {
  const serverIds = Array.from({ length: servers }, (_, index) => `engine-${index}`);
  const loads = new LoadTable();
  const makeReport = (offset: number) =>
    new Map(
      Array.from({ length: Math.min(servers, REPORTED_SERVERS) }, (_, index) => [
        serverIds[(offset * 7 + index) % servers] ?? '',
        REPORTED_LOAD,
      ]),
    );
  const reportUs = measureEach(instances * 3, (index) => {
    loads.mergePeerReport(`instance-${index % instances}`, makeReport(index), index);
  });
  const options = {
    partition: new PromptLengthPartition(),
    profile: DEFAULT_ENGINE_PROFILE,
    firstEventOverheadMs: 0,
    tightestPauseTargetMs: 200,
  };
  const decisionUs = measureEach(DECISIONS, (index) => {
    const nowMs = instances * 3;
    const candidates = serverIds.map((serverId) => ({
      ...{ serverId, load: loads.getLoad(serverId, nowMs), cachedTokens: 0, slowness: 1 },
      ...{ failureRate: 0, isAvoided: false, fetchableTokens: 0 },
    }));
    const parts = ['system', `subject-${index % 50}`, `own-${index}`].map((id) => ({
      ...{ id, tokens: 400 },
    }));
    choosePlacement(
      {
        ...{ promptTokens: 1_200, parts, outputTokens: 250 },
        ...{ firstEventTargetMs: 1_300, pauseTargetMs: 200, remainingMs: 15_000 },
      },
      candidates,
      options,
    );
  });
  const prefix = `instances=${instances} servers=${servers}`;
  return [
    createFigure(`${prefix} decision`, decisionUs, 'us'),
    createFigure(`${prefix} report of ${REPORTED_SERVERS} servers`, reportUs, 'us'),
  ];
}

/** Mean processor time of one call, in microseconds. */
function measureEach(count: number, run: (index: number) => void): number {
  const startedAt = process.cpuUsage();
  for (let index = 0; index < count; index += 1) run(index);
  const used = process.cpuUsage(startedAt);
  return (used.user + used.system) / count;
}
