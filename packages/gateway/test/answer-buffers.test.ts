import { expect, test } from 'vitest';
import { AnswerBuffers } from '../src/answer-buffers';

type Step =
  | { kind: 'add'; answer: string; bytes: number }
  | { kind: 'finish' | 'release'; answer: string }
  | { kind: 'length'; answer: string; header: string };

interface BufferCase {
  name: string;
  steps: readonly Step[];
  /** Answers that are given up, in order. */
  rejected: readonly string[];
  keptBytes: number;
}

const add = (answer: string, bytes: number): Step => ({ kind: 'add', answer, bytes });

const bufferCases: BufferCase[] = [
  { name: 'an answer of the largest size', steps: [add('a', 10)], rejected: [], keptBytes: 10 },
  { name: 'a larger answer', steps: [add('a', 6), add('a', 5)], rejected: ['a'], keptBytes: 0 },
  {
    ...{ name: 'a larger answer that its head announces', rejected: ['a'], keptBytes: 0 },
    steps: [{ kind: 'length', answer: 'a', header: '11' }, add('a', 1)],
  },
  {
    ...{ name: 'a length that is no number', rejected: [], keptBytes: 1 },
    steps: [{ kind: 'length', answer: 'a', header: 'x' }, add('a', 1)],
  },
  {
    ...{ name: 'the largest of several', rejected: ['b'], keptBytes: 13 },
    steps: [add('a', 5), add('b', 9), add('c', 5), add('c', 3)],
  },
  {
    ...{ name: 'a complete answer, which is not given up', rejected: ['b', 'c'], keptBytes: 10 },
    steps: [add('a', 10), { kind: 'finish', answer: 'a' }, add('b', 9), add('c', 9), add('c', 9)],
  },
  {
    ...{ name: 'an answer that has been sent', rejected: [], keptBytes: 9 },
    steps: [
      ...[add('a', 10), { kind: 'finish', answer: 'a' } as const],
      ...[{ kind: 'release', answer: 'a' } as const, add('b', 9)],
    ],
  },
  {
    ...{ name: 'bytes that arrive when nobody waits', rejected: [], keptBytes: 0 },
    steps: [add('a', 3), { kind: 'release', answer: 'a' }, add('a', 100)],
  },
];

// Guards against answers without end that are kept, against the end of small sound answers in place of large ones, and against
// bytes that are never freed.
test.each(bufferCases)('$name', ({ steps, rejected, keptBytes }) => {
  const buffers = new AnswerBuffers({ maxAnswerBytes: 10, maxTotalBytes: 18 });
  const given: string[] = [];
  const byName = new Map<string, ReturnType<AnswerBuffers['createBuffer']>>();
  const getBuffer = (answer: string) => {
    const known = byName.get(answer) ?? buffers.createBuffer(() => given.push(answer));
    byName.set(answer, known);
    return known;
  };
  for (const step of steps) {
    const buffer = getBuffer(step.answer);
    switch (step.kind) {
      case 'add':
        buffer.add(Buffer.alloc(step.bytes));
        break;
      case 'finish':
        buffer.finish();
        break;
      case 'release':
        buffer.release();
        break;
      case 'length':
        buffer.checkLength(step.header);
        break;
    }
  }
  expect({ given, kept: buffers.countBytes() }).toEqual({ given: rejected, kept: keptBytes });
});
