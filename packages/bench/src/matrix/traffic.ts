import { setTimeout as sleep } from 'node:timers/promises';
import { mersenne, unsafeUniformIntDistribution } from 'pure-rand';
import type { RandomGenerator } from 'pure-rand';
import { Caller, computePromptTokens, generateExpectedTokens } from './caller';
import type { Call, CallKind, Observation } from './caller';
import type { Fleet, FleetMember } from './fleet';

/** Distance of background requests: about a third of what the engines can serve. */
const BACKGROUND_INTERVAL_MS = 60;
const BACKGROUND_MAX_TOKENS = 24;
const MAX_SENDS = 3;
/** Room for the head of the assistant message and the marker of a crashing request, in prompt tokens. */
const CONTINUATION_MARGIN_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;
const FIRST_PROMPT_TOKENS = 24;
/** Prompts of probes begin here, so that their prefill takes 0.3 s. */
const FIRST_PROBE_PROMPT_TOKENS = 14_000;
/** A probe's answer takes at least half a second. */
const PROBE_MAX_TOKENS = 100;
const MIN_PROBE_TOKENS = 60;

/** The classes of background requests in the order in which they are sent. */
const BACKGROUND_CYCLE: readonly { kind: CallKind; className: string }[] = [
  { kind: 'chat', className: 'plan' },
  { kind: 'chat', className: 'question' },
  { kind: 'order', className: 'order' },
  { kind: 'chat', className: 'brief' },
  { kind: 'chat', className: 'question' },
  { kind: 'stock', className: 'order' },
];

/** The callers of one cell and what they saw. */
export class Traffic implements AsyncDisposable {
  readonly observations: Observation[] = [];
  /** Called with each request that has ended. */
  onEnded: ((observation: Observation) => void) | undefined;
  /** Instances that the balancer in front of the fleet has taken out. */
  readonly unready = new Set<string>();
  private readonly caller: Caller;
  private readonly random: RandomGenerator;
  private readonly pending = new Set<Promise<unknown>>();
  private isStopped = false;
  private nextNumber = 1;
  private nextPromptTokens = FIRST_PROMPT_TOKENS;
  private nextProbePromptTokens = FIRST_PROBE_PROMPT_TOKENS;

  constructor(
    private readonly fleet: Fleet,
    private readonly cellName: string,
    seed: number,
  ) {
    this.caller = new Caller(fleet.operators.teamKey);
    this.random = mersenne(seed);
  }

  /** Sends requests of every class through all ready instances until `stop`. */
  async runBackground(): Promise<void> {
    for (let index = 0; !this.isStopped; index += 1) {
      const entry = BACKGROUND_CYCLE[index % BACKGROUND_CYCLE.length];
      const instance = this.pickInstance();
      if (entry && instance)
        this.sendInBackground(instance, this.buildCall(entry.kind, entry.className));
      await sleep(BACKGROUND_INTERVAL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Waits until every request that was sent has ended. */
  async waitIdle(): Promise<void> {
    while (this.pending.size > 0) await Promise.all([...this.pending]);
  }

  /** Sends a request; a caller that got no answer sends it again elsewhere when `isResent`. */
  sendInBackground(instance: FleetMember, call: Call, isResent = call.kind === 'order'): void {
    const sending = this.sendCall(instance, call, isResent);
    this.pending.add(sending);
    void sending.finally(() => this.pending.delete(sending));
  }

  /** As `sendInBackground`; resolves with what the caller saw last. */
  async sendCall(instance: FleetMember, call: Call, isResent = false): Promise<Observation> {
    let target = instance;
    let current = call;
    for (let sends = 1; ; sends += 1) {
      const observation = await this.caller.sendCall(target, current);
      this.observations.push(observation);
      this.onEnded?.(observation);
      const isAnswered = observation.result.kind === 'answered';
      if (!isResent || isAnswered || sends === MAX_SENDS) return observation;
      target = this.pickInstance(target.id) ?? target;
      current = { ...call, requestId: this.createRequestId(), isResend: true, holdBody: undefined };
    }
  }

  /** A request of the background kind. */
  buildCall(kind: CallKind, className: string, maxTokens = BACKGROUND_MAX_TOKENS): Call {
    const requestId = this.createRequestId();
    if (kind !== 'chat') {
      const key = kind === 'order' ? { idempotencyKey: `key-${requestId}` } : {};
      return { kind, className, requestId, text: `item ${requestId}`, maxTokens, ...key };
    }
    const call: Call = { kind, className, requestId, text: `Question ${requestId}`, maxTokens };
    call.text = call.text.padEnd(
      this.nextPromptTokens * CHARACTERS_PER_TOKEN - 'user: '.length,
      '.',
    );
    this.nextPromptTokens += countReservedTokens(call);
    return call;
  }

  /** A chat with a long prompt and a long answer. */
  buildProbe(className: string): Call {
    for (;;) {
      const requestId = this.createRequestId();
      const text = `Probe ${requestId}`.padEnd(
        this.nextProbePromptTokens * CHARACTERS_PER_TOKEN - 'user: '.length,
        '.',
      );
      const call: Call = { kind: 'chat', className, requestId, text, maxTokens: PROBE_MAX_TOKENS };
      if (generateExpectedTokens(call).length < MIN_PROBE_TOKENS) continue;
      this.nextProbePromptTokens += countReservedTokens(call);
      return call;
    }
  }

  pickInstance(exceptId?: string): FleetMember | undefined {
    const ready = this.fleet
      .listMembers('instance')
      .filter(({ id }) => id !== exceptId && !this.unready.has(id));
    return ready[unsafeUniformIntDistribution(0, Math.max(0, ready.length - 1), this.random)];
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    await this.caller[Symbol.asyncDispose]();
  }

  private createRequestId(): string {
    return `${this.cellName}.${this.nextNumber++}`;
  }
}

/**
 * Prompt lengths that this request alone may use: those of its first attempt and of every
 * continuation. The engine's log names attempts, not requests, and is matched by prompt length.
 */
function countReservedTokens(call: Call): number {
  const answer = generateExpectedTokens(call).join('');
  const continued = Math.ceil(answer.length / CHARACTERS_PER_TOKEN) + CONTINUATION_MARGIN_TOKENS;
  return computePromptTokens(call) === 0 ? 0 : continued;
}
