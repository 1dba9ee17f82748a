import type { SchedulingClass, SchedulingTeam } from '@pollendrum/policy';
import { unsafeUniformIntDistribution, mersenne } from 'pure-rand';

/** Name of a user whose workload is simulated. */
export type PresetName = 'karoo' | 'associacao';

/** A class with the demand that the bench generates for it. */
export interface WorkloadClass extends SchedulingClass {
  /** Share of the offered tokens, 0 to 1. */
  tokenShare: number;
  meanOutputTokens: number;
  meanPromptTokens: number;
  /** The caller leaves when the first token takes longer, in milliseconds. */
  patienceMs: number;
  /**
   * The caller leaves when the whole answer takes longer, in milliseconds. It is the target for the first
   * token plus the time of the longest answer on an unimpaired server with a full batch.
   */
  maxTotalMs: number;
}

export interface Preset {
  name: PresetName;
  classes: readonly WorkloadClass[];
  teams: readonly SchedulingTeam[];
}

/** One recorded arrival. The true output length is not shown to policies. */
export interface Arrival {
  id: string;
  atMs: number;
  classIndex: number;
  team: string;
  promptTokens: number;
  outputTokens: number;
  maxOutputTokens: number;
}

export interface WorkloadOptions {
  preset: Preset;
  /** Demand during the burst, as a multiple of the servers' token rate. */
  load: number;
  /** Token rate of all servers with full batches, in tokens per second. */
  capacityTokensPerSecond: number;
  seed: number;
}

const BASE_LOAD = 0.5;
export const WARMUP_MS = 30_000;
export const BURST_END_MS = 90_000;
export const WORKLOAD_END_MS = 120_000;
const MS_PER_SECOND = 1000;
/** Spread of output lengths: the standard deviation of the logarithm. */
const LENGTH_SIGMA = 0.7;
/** Longest output as a multiple of the mean. */
const LENGTH_CAP = 3;
/** Decode rate of one stream on an unimpaired server with a full batch of 8, in tokens per second. */
const FULL_BATCH_TOKENS_PER_SECOND = 44;
const LARGE_TEAM_SHARE = 0.4;
const RANDOM_STEPS = 2 ** 31;

const teams: readonly SchedulingTeam[] = Array.from({ length: 10 }, (_, index) => ({
  name: `team-${index}`,
  weight: index === 0 ? 2 : 1,
}));

function computeMaxTotalMs(targetFirstByteMs: number, meanOutputTokens: number): number {
  const longestTokens = meanOutputTokens * LENGTH_CAP;
  return targetFirstByteMs + (longestTokens / FULL_BATCH_TOKENS_PER_SECOND) * MS_PER_SECOND;
}

function createClasses(preference: SchedulingClass['preference']): readonly WorkloadClass[] {
  return [
    {
      name: 'plan',
      tier: 0,
      floorPercent: 10,
      preference,
      targetFirstByteMs: 3000,
      maxQueueMs: preference === 'goodput' ? 8000 : 3000,
      tokenShare: 0.35,
      meanOutputTokens: 400,
      meanPromptTokens: 800,
      patienceMs: 10_000,
      maxTotalMs: computeMaxTotalMs(3000, 400),
    },
    {
      name: 'question',
      tier: 1,
      floorPercent: 10,
      preference,
      targetFirstByteMs: 1300,
      maxQueueMs: preference === 'goodput' ? 4000 : 1300,
      tokenShare: 0.45,
      meanOutputTokens: 80,
      meanPromptTokens: 120,
      patienceMs: 5000,
      maxTotalMs: computeMaxTotalMs(1300, 80),
    },
    {
      name: 'background',
      tier: 2,
      floorPercent: 10,
      preference,
      targetFirstByteMs: 5000,
      maxQueueMs: preference === 'goodput' ? 10_000 : 5000,
      tokenShare: 0.2,
      meanOutputTokens: 25,
      meanPromptTokens: 300,
      patienceMs: 15_000,
      maxTotalMs: computeMaxTotalMs(5000, 25),
    },
  ];
}

/** The two users: Karoo weighs attainment most, the Associação wasted work and goodput. */
export const presets: Record<PresetName, Preset> = {
  karoo: { name: 'karoo', classes: createClasses('attainment'), teams },
  associacao: { name: 'associacao', classes: createClasses('goodput'), teams },
};

/** Records arrivals of a burst between two quiet phases; the same options give the same arrivals. */
export function createArrivals(options: WorkloadOptions): Arrival[] {
  const random = createRandom(options.seed);
  const arrivals = options.preset.classes.flatMap((_, index) =>
    createClassArrivals(options, index, random),
  );
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function createClassArrivals(
  options: WorkloadOptions,
  classIndex: number,
  random: () => number,
): Arrival[] {
  const workload = options.preset.classes[classIndex];
  if (workload === undefined) return [];
  const tokensPerSecond = options.capacityTokensPerSecond * workload.tokenShare;
  const requestsPerSecond = tokensPerSecond / workload.meanOutputTokens;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < WORKLOAD_END_MS) {
    const isBurst = atMs >= WARMUP_MS && atMs < BURST_END_MS;
    const rate = requestsPerSecond * (isBurst ? options.load : BASE_LOAD);
    atMs += (-Math.log(1 - random()) / rate) * MS_PER_SECOND;
    arrivals.push({
      id: `${workload.name}-${arrivals.length}`,
      atMs,
      classIndex,
      team: chooseTeam(options.preset.teams, random),
      promptTokens: createLength(workload.meanPromptTokens, random),
      outputTokens: createLength(workload.meanOutputTokens, random),
      maxOutputTokens: workload.meanOutputTokens * LENGTH_CAP,
    });
  }
  return arrivals;
}

function chooseTeam(all: readonly SchedulingTeam[], random: () => number): string {
  const index = random() < LARGE_TEAM_SHARE ? 0 : Math.floor(random() * all.length);
  return all[index]?.name ?? 'team-0';
}

/** Draws a log-normal length with the given mean. */
function createLength(mean: number, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const length = mean * Math.exp(LENGTH_SIGMA * normal - LENGTH_SIGMA ** 2 / 2);
  return Math.max(1, Math.min(mean * LENGTH_CAP, Math.round(length)));
}

/** Returns a seeded generator of numbers from 0 up to 1. */
export function createRandom(seed: number): () => number {
  const generator = mersenne(seed);
  return () => unsafeUniformIntDistribution(0, RANDOM_STEPS - 1, generator) / RANDOM_STEPS;
}
