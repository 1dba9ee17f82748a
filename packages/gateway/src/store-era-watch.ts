import { EraTracker } from '@pollendrum/policy';
import type { EraAnswer, EraJudgement } from '@pollendrum/policy';
import type { Clock, GatewayLog } from './log-and-clock';
import type { StoreEra } from './object-store';

/** Where an instance has learnt of a new era. */
export type EraSource = 'store' | 'instance';

export interface StoreEraWatchOptions {
  clock: Clock;
  log: GatewayLog;
  /** Called with each new era after the listeners. */
  onRaise?(era: StoreEra, source: EraSource): void;
  /** Called with each answer that is discarded since it names a lower era. */
  onOutdated?(): void;
}

/** Tells all that depends on the store's revisions when a new era begins. */
export class StoreEraWatch {
  private readonly tracker = new EraTracker();
  private readonly listeners: ((era: StoreEra) => void)[] = [];
  private raisedAtMs = -Infinity;
  /** Whether any era has been named; the first one does not show a return from a backup. */
  private isNamed = false;

  constructor(private readonly options: StoreEraWatchOptions) {}

  getEra(): StoreEra {
    return this.tracker.getEra();
  }

  /** Time since a new era has begun, in milliseconds; infinite if the instance has seen none begin. */
  getSinceNewEraMs(nowMs: number): number {
    return nowMs - this.raisedAtMs;
  }

  /** Calls the listener at each change of the era but the first one, which the instance finds at its start. */
  addListener(listener: (era: StoreEra) => void): void {
    this.listeners.push(listener);
  }

  /** Judges an answer of the store by the era that it names. */
  judgeAnswer(answer: EraAnswer): EraJudgement {
    const previousEra = this.getEra();
    const judgement = this.tracker.judgeAnswer(answer);
    if (judgement === 'raised') this.#handleRaise(previousEra, 'store');
    if (judgement === 'outdated') this.options.onOutdated?.();
    this.isNamed = true;
    return judgement;
  }

  /** Takes in an era that another instance has named. */
  observeEra(era: StoreEra): void {
    const previousEra = this.getEra();
    if (this.tracker.observeEra(era, this.options.clock())) {
      this.#handleRaise(previousEra, 'instance');
    }
    this.isNamed = true;
  }

  #handleRaise(previousEra: StoreEra, source: EraSource): void {
    const { clock, log, onRaise } = this.options;
    if (!this.isNamed) return;
    const era = this.getEra();
    this.raisedAtMs = clock();
    log.warn('the store has returned from a backup; a new era begins', {
      ...{ era, previousEra, source },
    });
    for (const listener of this.listeners) listener(era);
    onRaise?.(era, source);
  }
}
