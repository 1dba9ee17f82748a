import { setTimeout as sleep } from 'node:timers/promises';
import { unsafeUniformIntDistribution, mersenne } from 'pure-rand';
import type { RandomGenerator } from 'pure-rand';
import { Agent } from 'undici';
import { sendChat } from './chat-sender';
import { resolveLoadOptions } from './options';
import type { LoadOptions, ResolvedLoadOptions } from './options';
import { sendOrder } from './order-sender';
import { LoadRecorder } from './result';
import type { LoadResult } from './result';

/** Sends load and resolves when the last answer has arrived or failed. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const sender = new LoadSender(resolveLoadOptions(options));
  return sender.run();
}

const RANDOM_STEPS = 2 ** 30;

class LoadSender {
  private readonly recorder = new LoadRecorder();
  private readonly agent: Agent;
  private readonly random: RandomGenerator;
  private readonly startedMs = performance.now();
  private nextNumber = 1;

  constructor(private readonly options: ResolvedLoadOptions) {
    // The first values of xoroshiro128plus are close to 1 for small seeds.
    this.random = mersenne(options.seed);
    // The timeout of the request covers both; a waiting request may have no headers for long.
    this.agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  }

  async run(): Promise<LoadResult> {
    const { pacing } = this.options;
    switch (pacing.kind) {
      case 'open':
        await this.runOpen(pacing.requestsPerSecond);
        break;
      case 'closed':
        await Promise.all(Array.from({ length: pacing.concurrency }, () => this.runClosed()));
        break;
    }
    await this.agent.destroy();
    return this.recorder.buildResult();
  }

  private async runOpen(requestsPerSecond: number): Promise<void> {
    const requests: Promise<void>[] = [];
    let dueMs = this.startedMs;
    for (;;) {
      dueMs += (-Math.log(1 - this.takeRandom()) * 1000) / requestsPerSecond;
      if (dueMs >= this.endMs) break;
      const waitMs = dueMs - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      // Times count from when the request was due, so a late sender does not hide a slow receiver.
      requests.push(this.sendNext(dueMs));
    }
    await Promise.all(requests);
  }

  private async runClosed(): Promise<void> {
    while (performance.now() < this.endMs) await this.sendNext(performance.now());
  }

  private get endMs(): number {
    return this.startedMs + this.options.durationMs;
  }

  private async sendNext(dueMs: number): Promise<void> {
    const name = `${this.options.runId}-${this.nextNumber.toString()}`;
    this.nextNumber += 1;
    const request = this.takeRandom() * 100 < this.options.orderPercent ? 'order' : 'chat';
    const send = request === 'order' ? sendOrder : sendChat;
    const outcome = await send(this.options, this.recorder, this.agent, name, dueMs);
    this.recorder.recordOutcome(request, outcome);
  }

  /** A number from 0 (included) to 1 (excluded). */
  private takeRandom(): number {
    return unsafeUniformIntDistribution(0, RANDOM_STEPS - 1, this.random) / RANDOM_STEPS;
  }
}
