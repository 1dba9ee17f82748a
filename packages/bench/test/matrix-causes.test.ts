import { expect, test } from 'vitest';
import type { Observation } from '../src/matrix/caller';
import { CauseChecker } from '../src/matrix/causes';
import type { CellContext } from '../src/matrix/cell';

const KILLED_AT_MS = 1_000;
const LOOKUP_LIMIT_MS = 1;

function createContext(receivedRequestIds: ReadonlySet<string>, endedAtMs?: number): CellContext {
  const killed = { id: 'i1', role: 'instance', receivedRequestIds, endedAtMs };
  return {
    fault: { allowedCauses: [] },
    step: { allowedCauses: [] },
    fleet: { clusterKey: 'key', getMember: () => killed, listMembers: () => [] },
    observer: { attempts: new Map() },
  } as unknown as CellContext;
}

function createBroken(fields: Partial<Observation> = {}): Observation {
  return {
    ...{ requestId: 'r1', kind: 'chat', className: 'question', instanceId: 'i1', promptTokens: 3 },
    ...{ isResend: false, sentAtMs: 960, bodySentAtMs: 960, endedAtMs: 1_010, tokens: 0 },
    ...{ ownDelayMs: 0, result: { kind: 'broken', code: 'ECONNRESET' } },
    ...fields,
  };
}

// Guards against a lost request that nobody has to explain: only what the killed instance never took is exempt.
test.each([
  { name: 'left unread by a killed instance', received: [], killedAtMs: KILLED_AT_MS, findings: 0 },
  { name: 'taken by a killed one', received: ['r1'], killedAtMs: KILLED_AT_MS, findings: 1 },
  { name: 'left unread by a live one', received: [], killedAtMs: undefined, findings: 1 },
])('a request $name has $findings findings', async ({ received, killedAtMs, findings }) => {
  const checker = new CauseChecker(createContext(new Set(received), killedAtMs), LOOKUP_LIMIT_MS);
  checker.observeEnd(createBroken());
  await expect(checker.collectFindings()).resolves.toHaveLength(findings);
});
