import { expect, test } from 'vitest';
import { EraTracker } from '../src';
import type { EraJudgement } from '../src';

interface Answer {
  era: number;
  calledAtMs: number;
  expected: EraJudgement;
}

/** Answers to calls that are made one after the other, each 10 ms after its call. */
function makeAnswers(era: number, times: readonly number[], expected: EraJudgement): Answer[] {
  return times.map((calledAtMs) => ({ era, calledAtMs, expected }));
}

const knownFive = makeAnswers(5, [0], 'raised');

const answerCases: { name: string; answers: Answer[]; era: number }[] = [
  { name: 'a store without eras', answers: makeAnswers(0, [0, 100, 200], 'current'), era: 0 },
  { name: 'a rise by one', answers: [...knownFive, ...makeAnswers(6, [50], 'raised')], era: 6 },
  { name: 'a rise by three', answers: [...knownFive, ...makeAnswers(8, [50], 'raised')], era: 8 },
  {
    name: 'answers of an earlier era to calls from before it ended',
    answers: [...knownFive, ...makeAnswers(4, [-50, -20, -10], 'outdated')],
    era: 5,
  },
  {
    name: 'answers of an earlier era for a short time',
    answers: [...knownFive, ...makeAnswers(4, [100, 500, 900, 2_900], 'outdated')],
    era: 5,
  },
  {
    name: 'answers of an earlier era for long, as a wrong header gives',
    answers: [
      ...knownFive,
      ...makeAnswers(4, [100, 1_500, 3_000], 'outdated'),
      ...makeAnswers(4, [3_200, 3_400], 'current'),
    ],
    era: 5,
  },
  {
    name: 'a few answers of an earlier era between others',
    answers: [
      ...knownFive,
      ...makeAnswers(4, [100, 1_500], 'outdated'),
      ...makeAnswers(5, [2_000], 'current'),
      ...makeAnswers(4, [3_200, 3_400], 'outdated'),
    ],
    era: 5,
  },
  ...[9_000_001, 1e15, Infinity, -1, 1.5, Number.NaN].map((era) => ({
    ...{ name: `an era of ${era}`, answers: [...knownFive, ...makeAnswers(era, [50], 'current')] },
    era: 5,
  })),
];

// Guards against answers from before the store returned, which arrive late, and against a wrong header that puts an end to reading.
// Load pattern: calls of one instance, one after the other.
test.each(answerCases)('$name leave the era at $era', ({ answers, era }) => {
  const tracker = new EraTracker();
  const judged = answers.map((answer) =>
    tracker.judgeAnswer({ ...answer, answeredAtMs: answer.calledAtMs + 10 }),
  );
  expect(judged).toEqual(answers.map(({ expected }) => expected));
  expect(tracker.getEra()).toBe(era);
});

test.each([
  { name: 'a higher era', era: 6, isNew: true },
  { name: 'the same era', era: 5, isNew: false },
  { name: 'a lower era', era: 4, isNew: false },
  { name: 'a huge era', era: 9_000_001, isNew: false },
  { name: 'no number', era: Number.NaN, isNew: false },
])('$name that another instance names is new: $isNew', ({ era, isNew }) => {
  const tracker = new EraTracker();
  tracker.observeEra(5, 0);
  expect(tracker.observeEra(era, 10)).toBe(isNew);
});
