import { setTimeout as sleep } from 'node:timers/promises';
import { computeRangeIndex, hashIdempotencyKey } from '@pollendrum/platform';
import { computePromptTokens } from './caller';
import type { BundleChange, CellContext } from './cell';
import { getJson, sendFaults } from './http';
import { acceptChange, proposeChange } from './inject';
import type { BundleStage, StepTrigger } from './steps';

const WAIT_LIMIT_MS = 5_000;
const POLL_INTERVAL_MS = 5;
/** Long enough for a request to reach its queue on loopback. */
const ENQUEUE_MS = 150;
/** Slots that the class brief may use: 16 less the headroom of two tiers. */
const BRIEF_SLOTS = 12;
const FILLER_COUNT = 20;
const FILLER_MAX_TOKENS = 160;
/** The order stays at its service for so long that the fault arrives before the answer. */
const SLOW_SERVICE_MS = 500;
const PROBE_CLASS = 'plan';
const QUEUED_CLASS = 'brief';
const SIGNAL_SPREAD_MS = 50;

/** Thrown when the fleet does not get to the step in time, so the cell says nothing about the fault. */
export class StepNotReachedError extends Error {
  override readonly name = 'StepNotReachedError';
}

/** Injects the fault; called once, when the step is reached. */
export type InjectAtStep = () => Promise<void>;

/** Brings the fleet to the step, injects the fault there, and finishes what the step began. */
export async function runStep(context: CellContext, inject: InjectAtStep): Promise<void> {
  const { trigger } = context.step;
  if (trigger.kind === 'bundle') {
    await runBundleChange(context, trigger.stage, inject);
    return;
  }
  await advanceToStep(context, trigger, inject);
}

async function advanceToStep(
  context: CellContext,
  trigger: Exclude<StepTrigger, { kind: 'bundle' }>,
  inject: InjectAtStep,
): Promise<void> {
  switch (trigger.kind) {
    case 'half-body-sent':
      await runHalfBody(context, inject);
      return;
    case 'slots-full':
      await runQueued(context, inject);
      return;
    case 'claim-stored':
      await runClaimed(context, inject);
      return;
    case 'attempt-at-engine':
      sendProbe(context, PROBE_CLASS);
      await waitForEngine(context);
      await inject();
      return;
    case 'tokens-arrived':
      await waitForTokens(context, trigger.share);
      await inject();
      return;
    case 'answer-complete':
      sendProbe(context, PROBE_CLASS);
      await context.probeAnswer;
      await inject();
      return;
    case 'dispatcher-stopping':
      await runQueued(context, async () => {
        stopInstance(context, context.dispatcher);
        await sleep(SIGNAL_SPREAD_MS);
        await inject();
      });
      return;
    case 'server-leaving':
      await waitForTokens(context, 0);
      await announceLeaving(context);
      await inject();
      return;
    case 'entry-stopping':
      await waitForTokens(context, 0);
      stopInstance(context, context.entry);
      await sleep(SIGNAL_SPREAD_MS);
      await inject();
      return;
  }
}

async function runBundleChange(
  context: CellContext,
  stage: BundleStage,
  inject: InjectAtStep,
): Promise<void> {
  const change = proposeChange(context, 'ana');
  if (stage === 'proposed') await inject();
  // Signing needs no part of the fleet; what follows the first signature is what a fault can disturb.
  context.fleet.operators.signBundle(change.text, ['ana']);
  if (stage === 'signed') await inject();
  await acceptChange(context, change, 'ana');
  if (stage === 'accepted') await inject();
  if (stage !== 'spread') return;
  await waitForSpread(context, change);
  await inject();
}

async function waitForSpread(context: CellContext, change: BundleChange): Promise<void> {
  await waitUntil('the bundle reaches an instance', () =>
    context.fleet
      .listMembers('instance')
      .some(({ id }) => context.observer.getMarker(id) === change.marker),
  );
}

function sendProbe(context: CellContext, className: string, holdBody?: () => Promise<void>): void {
  const probe = { ...context.traffic.buildProbe(className), holdBody };
  context.probe = probe;
  context.probeAnswer = context.traffic.sendCall(context.entry, probe);
}

async function runHalfBody(context: CellContext, inject: InjectAtStep): Promise<void> {
  const gate = createGate();
  const held = createGate();
  sendProbe(context, PROBE_CLASS, async () => {
    held.open();
    await gate.opened;
  });
  await held.opened;
  await sleep(SIGNAL_SPREAD_MS);
  await inject();
  gate.open();
}

async function runQueued(context: CellContext, inject: InjectAtStep): Promise<void> {
  const { traffic, entry } = context;
  for (let index = 0; index < FILLER_COUNT; index += 1) {
    traffic.sendInBackground(entry, traffic.buildCall('chat', QUEUED_CLASS, FILLER_MAX_TOKENS));
  }
  await waitUntil('the slots are full', async () => (await countRunning(context)) >= BRIEF_SLOTS);
  sendProbe(context, QUEUED_CLASS);
  await sleep(ENQUEUE_MS);
  await inject();
}

async function countRunning({ fleet }: CellContext): Promise<number> {
  const reports = await Promise.all(
    fleet.listMembers('engine').map(({ url }) => getJson<{ running: number }>(`${url}/load`)),
  );
  return reports.reduce((sum, { running }) => sum + running, 0);
}

async function runClaimed(context: CellContext, inject: InjectAtStep): Promise<void> {
  const { fleet, traffic, entry } = context;
  const services = fleet.listMembers('service');
  await Promise.all(services.map(({ url }) => sendFaults(url, { delayMs: SLOW_SERVICE_MS })));
  const probe = traffic.buildCall('order', 'order');
  const range = computeRangeIndex(
    hashIdempotencyKey('matrix', 'orders', probe.idempotencyKey ?? ''),
  );
  const before = await readClaimVersion(context, range);
  context.probe = probe;
  context.probeAnswer = traffic.sendCall(entry, probe, true);
  await waitUntil('the claim is stored', async () => {
    return (await readClaimVersion(context, range)) !== before;
  });
  await inject();
  // The service takes its delay when an order arrives, so the probe's is not shortened.
  await sleep(SIGNAL_SPREAD_MS);
  const resets = services.map(({ url }) => sendFaults(url, { delayMs: 0 }).catch(() => undefined));
  await Promise.all(resets);
}

async function readClaimVersion({ fleet }: CellContext, range: number): Promise<number> {
  const url = `${fleet.platform.url}/objects?prefix=claims/${range}`;
  const { objects } = await getJson<{ objects: { key: string; version: number }[] }>(url);
  return objects.find(({ key }) => key === `claims/${range}`)?.version ?? 0;
}

async function waitForEngine(context: CellContext): Promise<void> {
  const { fleet, observer, probe } = context;
  const promptTokens = probe ? computePromptTokens(probe) : 0;
  await waitUntil('the attempt is at an engine', async () => {
    await Promise.all(fleet.listMembers('engine').map((engine) => observer.refreshMember(engine)));
    return observer.findEngine(promptTokens) !== undefined;
  });
}

/** Sends a probe and waits until the share of its answer, or one token, has arrived. */
async function waitForTokens(context: CellContext, share: number): Promise<void> {
  const gate = createGate();
  const probe = context.traffic.buildProbe(PROBE_CLASS);
  context.probe = {
    ...probe,
    onTokens: (tokens, expected) => {
      if (tokens >= Math.max(1, Math.floor(expected * share))) gate.open();
    },
  };
  context.probeAnswer = context.traffic.sendCall(context.entry, context.probe);
  await Promise.race([gate.opened, context.probeAnswer]);
  if (!gate.isOpen()) throw new StepNotReachedError('the probe ended before its tokens arrived');
  await waitForEngine(context);
}

function stopInstance(context: CellContext, member: CellContext['entry']): void {
  context.stopping = { member, atMs: Date.now() };
  member.process.sendSignal('SIGTERM');
}

async function announceLeaving(context: CellContext): Promise<void> {
  const { fleet, observer, probe } = context;
  const member = observer.findEngine(probe ? computePromptTokens(probe) : 0);
  if (!member) throw new StepNotReachedError('the probe is at no engine');
  await fleet.announceState(member, 'leaving');
  context.leaving = { member, atMs: Date.now() };
  await sleep(SIGNAL_SPREAD_MS);
}

interface Gate {
  opened: Promise<void>;
  open: () => void;
  isOpen: () => boolean;
}

function createGate(): Gate {
  let isOpen = false;
  let resolveOpened: () => void = () => undefined;
  const opened = new Promise<void>((resolve) => {
    resolveOpened = resolve;
  });
  return {
    opened,
    isOpen: () => isOpen,
    open: () => {
      isOpen = true;
      resolveOpened();
    },
  };
}

/** Polls until the condition holds; throws `StepNotReachedError` after 5 s. */
export async function waitUntil(
  what: string,
  isMet: () => boolean | Promise<boolean>,
  limitMs = WAIT_LIMIT_MS,
): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  while (!(await isMet())) {
    if (performance.now() > deadlineMs) throw new StepNotReachedError(`${what}: not in time`);
    await sleep(POLL_INTERVAL_MS);
  }
}
