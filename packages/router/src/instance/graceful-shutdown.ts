import type { LogPort } from '../ports';

/** One step of a shutdown. */
export interface ShutdownStep {
  name: string;
  /** The next step begins at the latest after this time, in milliseconds. */
  limitMs: number;
  run(): Promise<void>;
}

/** How a step ended. */
export interface StepReport {
  name: string;
  result: 'done' | 'failed' | 'timed-out';
  elapsedMs: number;
}

/** Runs the steps of a shutdown in order. A step that fails or takes too long does not stop the next ones. */
export class GracefulShutdown {
  #running: Promise<StepReport[]> | undefined;

  constructor(
    readonly steps: readonly ShutdownStep[],
    readonly log: LogPort,
  ) {}

  isStarted(): boolean {
    return this.#running !== undefined;
  }

  /** Starts the shutdown; later calls wait for the first one. Never rejects. */
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
    const limit = new Promise<StepReport['result']>((resolve) => {
      timer = setTimeout(() => {
        resolve('timed-out');
      }, step.limitMs);
    });
    const result = await Promise.race([this.#runToResult(step), limit]);
    clearTimeout(timer);
    return { name: step.name, result, elapsedMs: performance.now() - startedAtMs };
  }

  async #runToResult(step: ShutdownStep): Promise<StepReport['result']> {
    try {
      await step.run();
      return 'done';
    } catch (error) {
      this.log.error('shutdown step failed', { step: step.name, error });
      return 'failed';
    }
  }
}
