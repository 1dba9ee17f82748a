import { expect, test } from 'vitest';
import { CrashEvidence, computeProbeDueAtMs, isProber } from '../src';
import type { RequestTrait } from '../src';

type Step =
  | { kind: 'crash'; traits: readonly RequestTrait[]; atMs: number }
  | { kind: 'answer'; traits: readonly RequestTrait[]; atMs: number };

interface EvidenceCase {
  name: string;
  steps: readonly Step[];
  quarantined: readonly RequestTrait[];
}

const [HEAD, TEAM, BAD]: [RequestTrait, RequestTrait, RequestTrait] = [
  'part aa',
  'part bb',
  'part cc',
];

function makeCrash(atMs: number, ...traits: RequestTrait[]): Step {
  return { kind: 'crash', traits, atMs };
}

function makeAnswer(atMs: number, ...traits: RequestTrait[]): Step {
  return { kind: 'answer', traits, atMs };
}

const REQUEST: RequestTrait = 'request aa';
const OTHER_REQUEST: RequestTrait = 'request bb';

const cases: EvidenceCase[] = [
  {
    name: 'a request that ends three servers within 100 ms is held back',
    steps: [1_000, 1_032, 1_032].map((atMs) => makeCrash(atMs, REQUEST)),
    quarantined: [REQUEST],
  },
  {
    name: 'a request is not blamed for servers that end together with one that did not have it',
    steps: [
      ...[1_000, 1_010, 1_020].map((atMs) => makeCrash(atMs, REQUEST)),
      makeCrash(1_090, OTHER_REQUEST),
    ],
    quarantined: [],
  },
  {
    name: 'a request is blamed although another server ends at one of the three times',
    steps: [
      ...[1_000, 2_000, 3_000].map((atMs) => makeCrash(atMs, REQUEST)),
      makeCrash(3_010, OTHER_REQUEST),
    ],
    quarantined: [REQUEST],
  },
  {
    name: 'a request that was answered shortly before is not blamed',
    steps: [
      makeAnswer(900, REQUEST),
      ...[1_000, 1_010, 1_020].map((atMs) => makeCrash(atMs, REQUEST)),
    ],
    quarantined: [],
  },
  {
    name: 'the part that no server begins to answer remains of all parts of three crashes',
    steps: [
      makeCrash(1_000, HEAD, TEAM, BAD),
      makeAnswer(1_500, HEAD, TEAM),
      makeCrash(2_000, HEAD, TEAM, BAD),
      makeAnswer(2_100, HEAD),
      makeCrash(3_000, HEAD, TEAM, BAD),
    ],
    quarantined: [BAD],
  },
  {
    name: 'a part that was never answered is held back after five crashes that another one explains',
    steps: [1_000, 2_000, 3_000, 4_000, 5_000].flatMap((atMs) => [
      makeCrash(atMs, BAD, TEAM),
      makeCrash(atMs + 500, BAD),
    ]),
    quarantined: [TEAM, BAD],
  },
  {
    name: 'five crashes at two times hold back a part that was never answered',
    steps: [1_000, 1_020, 2_000, 2_020, 2_040].map((atMs) => makeCrash(atMs, BAD)),
    quarantined: [BAD],
  },
  {
    name: 'two crashes are not enough',
    steps: [makeCrash(1_000, BAD), makeCrash(2_000, BAD)],
    quarantined: [],
  },
  {
    name: 'servers that end together put no blame on what they were running',
    steps: [
      makeCrash(1_000, TEAM),
      makeCrash(1_001, TEAM),
      makeCrash(1_002, TEAM),
      makeCrash(1_090, TEAM),
    ],
    quarantined: [],
  },
  {
    name: 'an answer shortly before the crash clears its parts',
    steps: [
      makeAnswer(900, TEAM),
      makeCrash(1_000, TEAM),
      makeAnswer(1_900, TEAM),
      makeCrash(2_000, TEAM),
      makeAnswer(2_900, TEAM),
      makeCrash(3_000, TEAM),
    ],
    quarantined: [],
  },
  {
    name: 'a part that was sound before can be held back later',
    steps: [
      makeAnswer(0, BAD),
      makeCrash(2_000, BAD),
      makeCrash(3_000, BAD),
      makeCrash(4_000, BAD),
    ],
    quarantined: [BAD],
  },
  {
    name: 'one answer clears a part that was held back',
    steps: [
      makeCrash(1_000, TEAM),
      makeCrash(2_000, TEAM),
      makeCrash(3_000, TEAM),
      makeAnswer(9_000, TEAM),
    ],
    quarantined: [],
  },
  {
    name: 'two bad parts are held back at once',
    steps: [1_000, 2_000, 3_000].flatMap((atMs) => [
      makeCrash(atMs, BAD),
      makeCrash(atMs + 300, 'part dd', HEAD),
      makeAnswer(atMs + 400, HEAD),
    ]),
    quarantined: [BAD, 'part dd'],
  },
  {
    name: 'a part that was answered before is not blamed beside one that never was',
    steps: [
      makeAnswer(0, TEAM),
      ...[2_000, 3_000, 4_000].map((atMs) => makeCrash(atMs, TEAM, BAD)),
    ],
    quarantined: [BAD],
  },
  {
    name: 'a part that was answered before is blamed for crashes that no other explains',
    steps: [
      makeAnswer(0, TEAM),
      ...[2_000, 3_000, 4_000].map((atMs) => makeCrash(atMs, TEAM, BAD)),
      ...[5_000, 6_000, 7_000].map((atMs) => makeCrash(atMs, TEAM)),
    ],
    quarantined: [TEAM, BAD],
  },
  {
    name: 'of two parts that were never answered the one with more crashes is blamed',
    steps: [
      ...[1_000, 2_000, 3_000].map((atMs) => makeCrash(atMs, TEAM, BAD)),
      makeCrash(4_000, BAD),
    ],
    quarantined: [BAD],
  },
  {
    name: 'parts that are always sent together are all held back',
    steps: [1_000, 2_000, 3_000].map((atMs) => makeCrash(atMs, TEAM, BAD)),
    quarantined: [TEAM, BAD],
  },
  {
    name: 'bad parts are blamed when their common part turns out to be sound',
    steps: [
      ...[1_000, 2_000, 3_000].map((atMs) => makeCrash(atMs, HEAD, BAD)),
      ...[4_000, 5_000, 6_000].map((atMs) => makeCrash(atMs, HEAD, 'part dd')),
      makeAnswer(16_000, HEAD),
    ],
    quarantined: [BAD, 'part dd'],
  },
];

// Guards against sound parts that are held back because they share requests or servers with a bad one, and against a bad
// one that is not held back.
test.each(cases)('$name', ({ steps, quarantined }) => {
  const evidence = new CrashEvidence();
  steps.forEach((step, index) => {
    switch (step.kind) {
      case 'crash':
        for (const trait of step.traits) {
          evidence.add({ kind: 'crash', trait, crashId: `crash-${index}`, atMs: step.atMs });
        }
        return;
      case 'answer':
        evidence.recordAnswer(step.traits, step.atMs);
        return;
    }
  });
  const traits: RequestTrait[] = [HEAD, TEAM, BAD, 'part dd', REQUEST, OTHER_REQUEST];
  expect(traits.filter((trait) => evidence.isQuarantined(trait))).toEqual(quarantined);
  expect(evidence.getQuarantined().size).toBe(quarantined.length);
});

// Guards against instances that disagree because facts reached them in different orders or twice.
test('facts in any order lead to the same crashes', () => {
  const source = new CrashEvidence();
  const facts = [
    ...source.add({ kind: 'crash', trait: TEAM, crashId: 'one', atMs: 1_000 }),
    ...source.recordAnswer([TEAM], 1_500),
    ...source.add({ kind: 'crash', trait: TEAM, crashId: 'two', atMs: 3_000 }),
    ...source.add({ kind: 'crash', trait: BAD, crashId: 'two', atMs: 3_000 }),
  ];
  const expected = [TEAM, BAD].map((trait) => source.listCrashes(trait));
  expect(expected.map(({ count }) => count)).toEqual([1, 1]);
  for (const order of [facts, [...facts].reverse(), [...facts, ...facts]]) {
    const target = new CrashEvidence();
    for (const fact of order) target.add(fact, 4_000);
    expect([TEAM, BAD].map((trait) => target.listCrashes(trait))).toEqual(expected);
  }
});

// Guards against old crashes that hold requests back for ever, and against memory that grows with each crash.
test('crashes are forgotten, and the number of traits is limited', () => {
  const evidence = new CrashEvidence();
  for (const atMs of [0, 1_000, 2_000]) {
    evidence.add({ kind: 'crash', trait: BAD, crashId: `crash-${atMs}`, atMs });
  }
  evidence.add({ kind: 'crash', trait: TEAM, crashId: 'one', atMs: 2_000 });
  expect(evidence.listFacts(700_000).map(({ trait }) => trait)).toEqual([BAD, BAD, BAD]);
  expect(evidence.listFacts(3_700_000)).toEqual([]);
  for (let index = 0; index < 5_000; index += 1) {
    evidence.add({ kind: 'crash', trait: `part ${index}`, crashId: 'one', atMs: 4_000_000 });
  }
  expect(evidence.listFacts(4_000_000)).toHaveLength(4_096);
});

// Guards against probes that end one server after another.
test.each([
  { name: 'the first probe', crashes: [0, 500, 1_000], dueAtMs: 11_000 },
  { name: 'the probe after one that failed', crashes: [0, 500, 1_000, 11_500], dueAtMs: 51_500 },
  {
    name: 'the probe after crashes of requests that were under way, and two that failed',
    crashes: [0, 500, 1_000, 1_200, 11_500, 52_000],
    dueAtMs: 212_000,
  },
])('$name is due later after each failure', ({ crashes, dueAtMs }) => {
  expect(computeProbeDueAtMs(crashes)).toBe(dueAtMs);
});

// Guards against several instances that send probes at the same time, and against a probe that waits for an instance that
// has stopped.
test.each([6, 62, 530])(
  'one of %i instances may send a probe first, then twice as many',
  (count) => {
    const instanceIds = Array.from({ length: count }, (_, index) => `entry-${index}`);
    const countProbers = (nowMs: number) =>
      instanceIds.filter((instanceId) => isProber(BAD, 10_000, { instanceId, instanceIds }, nowMs))
        .length;
    expect([9_999, 10_000, 14_999, 15_000, 20_000].map(countProbers)).toEqual([0, 1, 1, 2, 4]);
    expect(countProbers(70_000)).toBe(count);
  },
);

const comparisonCases = [
  {
    name: 'lacks one that has all crashes',
    with: [TEAM],
    answered: false,
    isMissing: false,
    expected: true,
  },
  {
    name: 'has all suspects',
    with: [TEAM, BAD],
    answered: false,
    isMissing: false,
    expected: false,
  },
  {
    name: 'lacks one without one of the crashes',
    with: [TEAM],
    answered: false,
    isMissing: true,
    expected: false,
  },
  {
    name: 'lacks one that was answered',
    with: [TEAM],
    answered: true,
    isMissing: false,
    expected: false,
  },
];

// Guards against requests that are held back although they can show which of two traits crashes servers, and against further
// crashes by requests that cannot.
test.each(comparisonCases)(
  'a request can tell suspects apart if it $name',
  ({ with: traits, answered, isMissing, expected }) => {
    const evidence = new CrashEvidence();
    evidence.recordAnswer(answered ? [BAD] : [], 0);
    for (const atMs of [2_000, 3_000, 4_000]) {
      const isLast = atMs === 4_000;
      for (const trait of isLast && isMissing ? [TEAM] : [TEAM, BAD]) {
        evidence.add({ kind: 'crash', trait, crashId: `crash-${atMs}`, atMs });
      }
    }
    expect(evidence.hasAbsentSuspect(TEAM, traits)).toBe(expected);
  },
);
