import { setTimeout as sleep } from 'node:timers/promises';
import { computePromptTokens } from './caller';
import type { BundleChange, CellContext } from './cell';
import type { FaultAction, ProcessTarget } from './faults';
import type { FleetMember } from './fleet';
import { sendFaults } from './http';
import type { OperatorName } from './operators';

const CRASH_MARKER = 'crash-this-server';
const CRASH_AFTER_TOKENS = 3;
const BURST_CLASS = 'brief';
const BURST_MAX_TOKENS = 40;
const BURST_GROUP = 5;
const BURST_GROUP_INTERVAL_MS = 20;
const NO_PLATFORM_FAULTS = {
  outage: false,
  delayMs: 0,
  loseConfirmations: 0,
  listLagMs: 0,
  dropWatchEvents: 0,
};

/** Injects all actions of the fault; `ended` resolves when those that last are over. */
export async function injectFault(context: CellContext): Promise<{ ended: Promise<void> }> {
  const endings: Promise<void>[] = [];
  for (const action of context.fault.actions) {
    const { ended } = await injectAction(context, action);
    endings.push(ended);
  }
  return { ended: Promise.all(endings).then(() => undefined) };
}

/** An injected action; wrapped, because awaiting a bare promise would await its end. */
interface Injected {
  ended: Promise<void>;
}

const AT_ONCE: Injected = { ended: Promise.resolve() };

async function injectAction(context: CellContext, action: FaultAction): Promise<Injected> {
  switch (action.kind) {
    case 'end-process':
      await endMember(context, findTarget(context, action.target));
      return AT_ONCE;
    case 'freeze-process':
      return { ended: startFreeze(findTarget(context, action.target), action.durationMs) };
    case 'platform': {
      const { url } = context.fleet.platform;
      await sendFaults(url, action.values);
      return {
        ended: sleep(action.durationMs).then(() => sendFaults(url, NO_PLATFORM_FAULTS)),
      };
    }
    case 'engine-silent':
      await sendFaults(findTarget(context, 'engine').url, { silent: true });
      return AT_ONCE;
    case 'two-operators':
      return { ended: acceptRivals(context) };
    case 'crashing-request':
      return { ended: sendCrashingRequest(context) };
    case 'burst':
      return { ended: sendBurst(context, action.requests) };
    case 'clock-step':
      throw new Error('the clock cannot be stepped');
  }
}

/** The process that a fault hits: the one that serves the probe, if there is one. */
function findTarget(context: CellContext, target: ProcessTarget): FleetMember {
  const { fleet, observer, probe } = context;
  switch (target) {
    case 'entry':
      return context.entry;
    case 'dispatcher':
      return context.dispatcher;
    case 'engine': {
      const tokens = probe?.kind === 'chat' ? computePromptTokens(probe) : -1;
      return context.leaving?.member ?? observer.findEngine(tokens) ?? fleet.getMember('e1');
    }
    case 'service':
      return observer.findService(probe?.idempotencyKey ?? '') ?? fleet.getMember('s1');
  }
}

async function endMember(context: CellContext, member: FleetMember): Promise<void> {
  // The log of a killed stand-in is lost with it.
  if (member.role !== 'instance') {
    await context.observer.refreshMember(member).catch(() => undefined);
  }
  member.endedAtMs = Date.now();
  context.traffic.unready.add(member.id);
  await member.process.endNow();
}

async function startFreeze(member: FleetMember, durationMs: number): Promise<void> {
  member.process.setFrozen(true);
  member.frozen = { fromMs: Date.now() };
  await sleep(durationMs);
  member.process.setFrozen(false);
  member.frozen.toMs = Date.now();
}

/** Accepts a bundle and records what the operator was told. */
export async function acceptChange(
  context: CellContext,
  change: BundleChange,
  operator: OperatorName,
): Promise<void> {
  const { operators } = context.fleet;
  const result = await operators.acceptBundle(operators.signBundle(change.text), operator);
  change.result = result.kind;
  change.settledAtMs = Date.now();
}

/** Adds a bundle of the next number to what operators try. */
export function proposeChange(context: CellContext, operator: OperatorName): BundleChange {
  const number = 2;
  const marker = `bundle-${number}-${operator}`;
  const text = context.fleet.operators.buildBundle(number, marker);
  const change: BundleChange = { number, marker, text };
  context.changes.push(change);
  return change;
}

/** Two operators accept different bundles of one number, unless the step already has one of them. */
async function acceptRivals(context: CellContext): Promise<void> {
  const names: OperatorName[] = context.changes.length > 0 ? ['bongi'] : ['ana', 'bongi'];
  await Promise.all(names.map((name) => acceptChange(context, proposeChange(context, name), name)));
}

async function sendCrashingRequest(context: CellContext): Promise<void> {
  const { fleet, traffic, entry } = context;
  const faults = { crashMarker: CRASH_MARKER, crashAfterTokens: CRASH_AFTER_TOKENS };
  await Promise.all(fleet.listMembers('engine').map(({ url }) => sendFaults(url, faults)));
  const call = traffic.buildCall('chat', BURST_CLASS);
  await traffic.sendCall(entry, { ...call, text: `${CRASH_MARKER} ${call.text}` }, true);
}

/** In small groups, so that the matrix itself does not delay what it measures. */
async function sendBurst({ traffic }: CellContext, requests: number): Promise<void> {
  for (let index = 0; index < requests; index += 1) {
    const instance = traffic.pickInstance();
    const call = traffic.buildCall('chat', BURST_CLASS, BURST_MAX_TOKENS);
    if (instance) traffic.sendInBackground(instance, call);
    if (index % BURST_GROUP === BURST_GROUP - 1) await sleep(BURST_GROUP_INTERVAL_MS);
  }
}
