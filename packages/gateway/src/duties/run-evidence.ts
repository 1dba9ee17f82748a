import type { AttemptEnd, ResponseHead } from '../backend-attempt';
import type { Exchange } from '../exchange';

const OK = 200;

/** What an attempt shows about whether a server has begun to run its request. */
export interface AttemptEvidence {
  recordSent(): void;
  recordHead(head: ResponseHead): void;
  /** Records the first event of a stream, or the answer of a plain request. */
  recordAnswer(): void;
  recordEnd(end: AttemptEnd): void;
  recordCancel(): void;
}

/** Counts a request once, at the first evidence that a server has begun to run it. */
export class RunEvidence {
  private isCounted = false;

  constructor(private readonly exchange: Pick<Exchange, 'context' | 'input'>) {}

  createAttempt(): AttemptEvidence {
    const { context, input } = this.exchange;
    const isStream = input.route.kind === 'stream';
    let isSent = false;
    let isRefused = false;
    let hasHead = false;
    return {
      recordSent: () => {
        isSent = true;
      },
      recordHead: ({ status, headers }) => {
        hasHead = true;
        if (this.isCounted || input.team === undefined) return;
        const decoded = context.codec.decodeResponse(status, headers, input.head.requestId);
        isRefused = decoded.kind === 'not-run';
        // A stream begins with its first event; any other answer of its server shows that the request was run.
        const isEventStream = isStream && status === OK && decoded.kind === 'answer';
        if (!isRefused && !isEventStream) this.#count();
      },
      recordAnswer: () => {
        this.#count();
      },
      recordEnd: ({ kind }) => {
        const isOver = kind === 'broken' || (kind === 'complete' && hasHead);
        if (isOver && !isRefused) this.#count();
      },
      recordCancel: () => {
        // A stream without an event still waits; a plain request begins soon after it has been sent.
        if (isSent && !isRefused && !isStream) this.#count();
      },
    };
  }

  #count(): void {
    if (this.isCounted) return;
    this.isCounted = true;
    const { context, input } = this.exchange;
    if (input.team !== undefined) context.countRun(input.team.name);
  }
}
