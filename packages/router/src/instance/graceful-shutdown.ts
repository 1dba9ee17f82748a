import type { LogPort } from '../ports';

export interface ShutdownStep {
  name: string;
  /** Time in milliseconds after which the next step starts even if this step is still running. */
  limitMs: number;
  run(): Promise<void>;
}

/** Result of a step as it is logged. */
export interface StepReport {
  name: string;
  result: 'done' | 'failed' | 'timed-out';
  elapsedMs: number;
}

/** Runs the steps of a shutdown in order. The next step also runs after a step that fails or times out. */
export class GracefulShutdown {
  #running: Promise<StepReport[]> | undefined;

  constructor(
    readonly steps: readonly ShutdownStep[],
    readonly log: LogPort,
  ) {}

  isStarted(): boolean {
    return this.#running !== undefined;
  }

  /** Starts the shutdown. Further calls wait for the same shutdown. Never rejects. */
  async run(): Promise<StepReport[]> {
    this.#running ??= this.#runSteps();
    return await this.#running;
  }

  async #runSteps(): Promise<StepReport[]> {
    const reports: StepReport[] = [];
    for (const step of this.steps) {
      const report = await this.#runStep(step);
      this.log.info('shutdown step ended', { ...report });
      reports.push(report);
    }
    return reports;
  }

  async #runStep(step: ShutdownStep): Promise<StepReport> {
    const startedAtMs = performance.now();
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<StepReport['result']>((resolve) => {
      timer = setTimeout(() => {
        resolve('timed-out');
      }, step.limitMs);
    });
    const result = await Promise.race([this.#runAndCatch(step), timeout]);
    clearTimeout(timer);
    return { name: step.name, result, elapsedMs: performance.now() - startedAtMs };
  }

  async #runAndCatch(step: ShutdownStep): Promise<StepReport['result']> {
    try {
      await step.run();
      return 'done';
    } catch (error) {
      this.log.error('shutdown step failed', { step: step.name, error });
      return 'failed';
    }
  }
}
