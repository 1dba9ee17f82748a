import { EventEmitter } from 'node:events';

export type AttemptState = 'waiting' | 'running' | 'completed' | 'cancelled';

/** What an attempt needs to run. */
export interface AttemptInput {
  attemptId: string;
  model: string;
  /** Lower runs first. */
  priority: number;
  prompt: string;
  /** Tokens to generate, in order. */
  tokens: readonly string[];
  finishReason: 'stop' | 'length';
}

/** One run of a request on the engine. Emits `change` when it generated tokens or ended. */
export class Attempt extends EventEmitter<{ change: [] }> {
  readonly createdAtMs = Date.now();
  state: AttemptState = 'waiting';
  promptTokens = 0;
  cachedTokens = 0;
  /** Prompt tokens still to be computed; fractions occur between two steps. */
  prefillLeft = 0;
  /** Tokens generated so far; fractions occur between two steps. */
  progress = 0;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;

  constructor(readonly input: AttemptInput) {
    super();
    // Each response that was attached listens until it closes; silent ones stay.
    this.setMaxListeners(0);
  }

  get isEnded(): boolean {
    return this.state === 'completed' || this.state === 'cancelled';
  }

  /** Whole tokens that may be sent. */
  get generatedTokens(): number {
    return Math.min(Math.floor(this.progress), this.input.tokens.length);
  }

  /** Ends the attempt; a second end has no effect. */
  end(state: 'completed' | 'cancelled'): void {
    if (this.isEnded) return;
    this.state = state;
    this.endedAtMs = Date.now();
    this.emit('change');
  }
}
