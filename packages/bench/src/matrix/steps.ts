import type { CauseKind } from './faults';

/** What the matrix waits for before it injects the fault. */
export type StepTrigger =
  | { kind: 'half-body-sent' }
  | { kind: 'slots-full' }
  | { kind: 'claim-stored' }
  | { kind: 'attempt-at-engine' }
  /** `share` of the answer's tokens has arrived, at least one token. */
  | { kind: 'tokens-arrived'; share: number }
  | { kind: 'answer-complete' }
  | { kind: 'bundle'; stage: BundleStage }
  | { kind: 'dispatcher-stopping' }
  | { kind: 'server-leaving' }
  | { kind: 'entry-stopping' };

/** How far the operators are with a new bundle. */
export type BundleStage = 'proposed' | 'signed' | 'accepted' | 'spread';

/** The request that is at the step when the fault is injected. */
export type ProbeKind = 'chat' | 'order' | 'none';

/** A column of the matrix. */
export interface Step {
  name: string;
  probe: ProbeKind;
  trigger: StepTrigger;
  /** Kinds of causes that the step itself may bring about, besides those of the fault. */
  allowedCauses: readonly CauseKind[];
}

/** The step fills every slot, so requests may be shed for lack of capacity. */
const FULL_SLOTS: readonly CauseKind[] = [
  'queue-wait-over-budget',
  'queue-full',
  'queue-timeout',
  'server-slow',
];
const STOPPING: readonly CauseKind[] = ['instance-draining', 'dispatcher-moved', 'dispatcher-lost'];

/** All columns. */
export const STEPS: readonly Step[] = [
  { name: 'received', probe: 'chat', trigger: { kind: 'half-body-sent' }, allowedCauses: [] },
  { name: 'queued', probe: 'chat', trigger: { kind: 'slots-full' }, allowedCauses: FULL_SLOTS },
  { name: 'claim-written', probe: 'order', trigger: { kind: 'claim-stored' }, allowedCauses: [] },
  { name: 'sent', probe: 'chat', trigger: { kind: 'attempt-at-engine' }, allowedCauses: [] },
  {
    name: 'first-token',
    probe: 'chat',
    trigger: { kind: 'tokens-arrived', share: 0 },
    allowedCauses: [],
  },
  {
    name: 'mid-stream',
    probe: 'chat',
    trigger: { kind: 'tokens-arrived', share: 0.5 },
    allowedCauses: [],
  },
  {
    name: 'last-token',
    probe: 'chat',
    trigger: { kind: 'tokens-arrived', share: 1 },
    allowedCauses: [],
  },
  {
    name: 'answer-delivered',
    probe: 'chat',
    trigger: { kind: 'answer-complete' },
    allowedCauses: [],
  },
  {
    name: 'bundle-proposed',
    probe: 'none',
    trigger: { kind: 'bundle', stage: 'proposed' },
    allowedCauses: [],
  },
  {
    name: 'bundle-signed',
    probe: 'none',
    trigger: { kind: 'bundle', stage: 'signed' },
    allowedCauses: [],
  },
  {
    name: 'bundle-accepted',
    probe: 'none',
    trigger: { kind: 'bundle', stage: 'accepted' },
    allowedCauses: [],
  },
  {
    name: 'bundle-spread',
    probe: 'none',
    trigger: { kind: 'bundle', stage: 'spread' },
    allowedCauses: [],
  },
  {
    name: 'ownership-moving',
    probe: 'chat',
    trigger: { kind: 'dispatcher-stopping' },
    allowedCauses: [...FULL_SLOTS, ...STOPPING],
  },
  {
    name: 'server-leaving',
    probe: 'chat',
    trigger: { kind: 'server-leaving' },
    allowedCauses: ['server-refused'],
  },
  {
    name: 'planned-stop',
    probe: 'chat',
    trigger: { kind: 'entry-stopping' },
    allowedCauses: STOPPING,
  },
];
