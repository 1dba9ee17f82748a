import { setTimeout as sleep } from 'node:timers/promises';
import { runStep, waitUntil } from './advance';
import { listAccepted } from './bundle-check';
import { CauseChecker } from './causes';
import type { CellContext } from './cell';
import { checkCell } from './checker';
import type { Fault } from './faults';
import { Fleet } from './fleet';
import type { FleetMember } from './fleet';
import { getJson } from './http';
import { injectFault } from './inject';
import { isInstanceReady, Observer } from './observer';
import { CHAT_POOL, CLASSES, computeOperatorHeaders } from './operators';
import type { Step } from './steps';
import { Traffic } from './traffic';

/** Outcome of one cell. */
export interface CellResult {
  fault: string;
  step: string;
  result: 'passed' | 'failed' | 'not-applicable';
  /** Findings of a failed cell, or why the cell does not apply. */
  reason?: string;
}

const CELL_LIMIT_MS = 30_000;
const WARM_UP_MS = 700;
/** Traffic goes on for this long after the fault is over. */
const RECOVERY_MS = 2_000;
/** Longer than the bound of 3 s after which a leaving server gets nothing new. */
const LEAVING_OBSERVATION_MS = 4_500;
const FINAL_PROBE_LIMIT_MS = 8_000;
const IN_FORCE_LIMIT_MS = 8_000;
const STOP_LIMIT_MS = 14_000;
const MAX_FINDINGS = 6;
const FIRST_MARKER = 'bundle-1';

/** Runs one cell in a fleet of its own. Never throws, and leaves no process behind. */
export async function runCell(fault: Fault, step: Step, seed: number): Promise<CellResult> {
  const cell = { fault: fault.name, step: step.name };
  if (fault.notApplicable !== undefined) {
    return { ...cell, result: 'not-applicable', reason: fault.notApplicable };
  }
  const findings = await runWithLimit(fault, step, seed);
  if (findings.length === 0) return { ...cell, result: 'passed' };
  const more =
    findings.length > MAX_FINDINGS ? ` (and ${findings.length - MAX_FINDINGS} more)` : '';
  return { ...cell, result: 'failed', reason: findings.slice(0, MAX_FINDINGS).join('; ') + more };
}

async function runWithLimit(fault: Fault, step: Step, seed: number): Promise<string[]> {
  const fleet = new Fleet();
  const abort = new AbortController();
  const started: StartedCell = {};
  const limit = sleep(CELL_LIMIT_MS, undefined, { signal: abort.signal }).then(
    () => [
      `time limit of ${CELL_LIMIT_MS} ms`,
      ...(started.context ? checkCell(started.context) : []),
    ],
    // Aborted when the cell ends in time.
    () => [],
  );
  const running = runFleet(fleet, fault, step, seed, started).catch((error: unknown) => [
    String(error),
  ]);
  try {
    return await Promise.race([running, limit]);
  } finally {
    abort.abort();
    await fleet[Symbol.asyncDispose]();
  }
}

/** Lets a cell that runs out of time be checked as far as it came. */
interface StartedCell {
  context?: CellContext;
}

async function runFleet(
  fleet: Fleet,
  fault: Fault,
  step: Step,
  seed: number,
  started: StartedCell,
): Promise<string[]> {
  await fleet.start(FIRST_MARKER);
  await using traffic = new Traffic(fleet, `${fault.name}.${step.name}`.replaceAll('+', '-'), seed);
  const observer = new Observer(fleet, traffic);
  const { entry, dispatcher } = await resolveRoles(fleet);
  const context: CellContext = {
    ...{ fault, step, fleet, traffic, observer, entry, dispatcher },
    changes: [],
  };
  started.context = context;
  const causes = new CauseChecker(context);
  traffic.onEnded = (observation) => {
    causes.observeEnd(observation);
  };
  const watching = observer.run();
  const sending = traffic.runBackground();
  try {
    await sleep(WARM_UP_MS);
    await runFault(context);
    await sendFinalProbes(context);
    traffic.stop();
    await Promise.all([sending, traffic.waitIdle()]);
    const findings = await finishCell(context, causes);
    return [...checkCell(context), ...findings];
  } finally {
    traffic.stop();
    observer.stop();
    await watching;
  }
}

/** Waits until all instances are ready and agree on the owner of the engines' shard. */
async function resolveRoles(
  fleet: Fleet,
): Promise<{ entry: FleetMember; dispatcher: FleetMember }> {
  const instances = fleet.listMembers('instance').sort((a, b) => a.id.localeCompare(b.id));
  let owners = new Set<string | undefined>();
  await waitUntil('all instances are ready', async () => {
    const ready = await Promise.all(instances.map(isInstanceReady));
    if (ready.includes(false)) return false;
    owners = new Set(await Promise.all(instances.map((member) => readOwner(fleet, member))));
    return owners.size === 1 && !owners.has(undefined);
  });
  const dispatcher = instances.find(({ id }) => owners.has(id));
  const entry = instances.find((member) => member !== dispatcher);
  if (!dispatcher || !entry) throw new Error('no instance owns the shard');
  return { entry, dispatcher };
}

interface StatusReply {
  members: unknown[];
  shards: { poolId: string; ownerInstanceId?: string; servers: unknown[] }[];
}

/** Owner of the chat shard as an instance sees it; undefined until it knows all members and servers. */
async function readOwner(fleet: Fleet, member: FleetMember): Promise<string | undefined> {
  const headers = computeOperatorHeaders(fleet.clusterKey);
  const status = await getJson<StatusReply>(`${member.url}/admin/status`, headers);
  if (status.members.length < fleet.listMembers('instance').length) return undefined;
  const shard = status.shards.find(({ poolId }) => poolId === `model:${CHAT_POOL}`);
  const isComplete = shard?.servers.length === fleet.listMembers('engine').length;
  return isComplete ? shard.ownerInstanceId : undefined;
}

async function runFault(context: CellContext): Promise<void> {
  let ended = Promise.resolve();
  await runStep(context, async () => {
    const injected = await injectFault(context);
    ended = injected.ended;
  });
  await ended;
  await sleep(context.leaving ? LEAVING_OBSERVATION_MS : RECOVERY_MS);
}

/** Every class is answered again through every instance that is left; the answers are observations. */
async function sendFinalProbes({ fleet, traffic }: CellContext): Promise<void> {
  const left = fleet.listMembers('instance').filter(({ id }) => !traffic.unready.has(id));
  const probes = left.flatMap((member) =>
    CLASSES.map(async ({ name }) => {
      const deadlineMs = Date.now() + FINAL_PROBE_LIMIT_MS;
      for (;;) {
        const kind = name === 'order' ? 'order' : 'chat';
        const { result } = await traffic.sendCall(member, traffic.buildCall(kind, name));
        if (result.kind === 'answered' || Date.now() > deadlineMs) return;
        await sleep(100);
      }
    }),
  );
  await Promise.all(probes);
}

async function finishCell(context: CellContext, causes: CauseChecker): Promise<string[]> {
  const findings = await Promise.all([
    causes.collectFindings(),
    waitForStop(context),
    waitForBundles(context),
  ]);
  await Promise.all(
    context.fleet.members
      .filter(({ hasExited }) => !hasExited)
      .map((member) => context.observer.refreshMember(member).catch(() => undefined)),
  );
  return findings.flat();
}

async function waitForStop({ stopping }: CellContext): Promise<string[]> {
  if (!stopping || stopping.member.endedAtMs !== undefined) return [];
  const exit = await Promise.race([stopping.member.process.exited, sleep(STOP_LIMIT_MS)]);
  if (exit === undefined) return [`${stopping.member.id} did not stop in ${STOP_LIMIT_MS} ms`];
  const { code, signal } = exit;
  return code === 0 ? [] : [`${stopping.member.id} stopped with ${code ?? signal ?? 'nothing'}`];
}

async function waitForBundles(context: CellContext): Promise<string[]> {
  const newest = listAccepted(context)[0];
  if (!newest) return [];
  const { fleet, observer, stopping } = context;
  const isInForce = () =>
    fleet
      .listMembers('instance')
      .filter((member) => member.endedAtMs === undefined && member !== stopping?.member)
      .every(({ id }) => observer.getMarker(id) === newest.marker);
  // The checker judges the times; here is only the wait for late ones.
  await waitUntil('bundle', isInForce, IN_FORCE_LIMIT_MS).catch(() => undefined);
  return [];
}
