import type { ServerResponse } from 'node:http';
import { HttpError } from '../http/host';
import type { Attempt, AttemptState } from './attempt';

/** Ended attempts that can still be resumed or asked for. */
const MAX_ENDED_ATTEMPTS = 10_000;
const MAX_LOG_ENTRIES = 200_000;

/** One line of the log of attempts. Times are Unix times in milliseconds. */
export interface AttemptLogEntry {
  attemptId: string;
  priority: number;
  state: AttemptState;
  arrivedAtMs: number;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;
  promptTokens: number;
  cachedTokens: number;
  generatedTokens: number;
}

interface Attachment {
  attempt: Attempt;
  response: ServerResponse | undefined;
  cancelTimer: NodeJS.Timeout | undefined;
}

/** Attempts by id, and which response each of them feeds. */
export class AttemptRegistry implements Disposable {
  private readonly attachments = new Map<string, Attachment>();
  private readonly log: Attempt[] = [];

  /** `cancelAttempt` is called when no response was attached for `resumeWindowMs`. */
  constructor(
    private readonly resumeWindowMs: number,
    private readonly cancelAttempt: (attempt: Attempt) => void,
  ) {}

  /** Throws `HttpError` 409 when the id is in use. */
  addAttempt(attempt: Attempt): void {
    const { attemptId } = attempt.input;
    if (this.attachments.has(attemptId)) {
      throw new HttpError(409, 'attempt_exists', `attempt ${attemptId} was sent before`, {
        'X-Not-Run': 'true',
      });
    }
    this.discardOldest();
    this.attachments.set(attemptId, { attempt, response: undefined, cancelTimer: undefined });
    this.log.push(attempt);
    if (this.log.length > MAX_LOG_ENTRIES) this.log.shift();
  }

  /** Throws `HttpError` 404 for an unknown attempt. */
  getAttempt(attemptId: string): Attempt {
    return this.getAttachment(attemptId).attempt;
  }

  /** Makes the response the one that the attempt feeds, and returns the one it replaces. */
  replaceResponse(attempt: Attempt, response: ServerResponse): ServerResponse | undefined {
    const attachment = this.getAttachment(attempt.input.attemptId);
    const previous = attachment.response;
    clearTimeout(attachment.cancelTimer);
    attachment.response = response;
    response.once('close', () => {
      if (attachment.response !== response) return;
      attachment.response = undefined;
      if (attempt.isEnded) return;
      attachment.cancelTimer = setTimeout(() => {
        this.cancelAttempt(attempt);
      }, this.resumeWindowMs);
    });
    return previous;
  }

  listLog(): AttemptLogEntry[] {
    return this.log.map((attempt) => ({
      attemptId: attempt.input.attemptId,
      priority: attempt.input.priority,
      state: attempt.state,
      arrivedAtMs: attempt.createdAtMs,
      startedAtMs: attempt.startedAtMs,
      endedAtMs: attempt.endedAtMs,
      promptTokens: attempt.promptTokens,
      cachedTokens: attempt.cachedTokens,
      generatedTokens: attempt.generatedTokens,
    }));
  }

  [Symbol.dispose](): void {
    for (const { cancelTimer } of this.attachments.values()) clearTimeout(cancelTimer);
  }

  private getAttachment(attemptId: string): Attachment {
    const attachment = this.attachments.get(attemptId);
    if (!attachment) throw new HttpError(404, 'unknown_stream', `no stream ${attemptId}`);
    return attachment;
  }

  private discardOldest(): void {
    if (this.attachments.size < MAX_ENDED_ATTEMPTS) return;
    for (const [id, { attempt }] of this.attachments) {
      if (!attempt.isEnded) continue;
      this.attachments.delete(id);
      return;
    }
  }
}
