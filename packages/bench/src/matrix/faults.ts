import type { Cause } from '@pollendrum/protocol';

export type CauseKind = Cause['kind'];

/** Part of the fleet that a process fault is applied to. */
export type ProcessTarget = 'entry' | 'dispatcher' | 'engine' | 'service';

/** Faults of the platform stand-in, as `POST /admin/faults` takes them. */
export interface PlatformFaultValues {
  outage?: boolean;
  delayMs?: number;
  loseConfirmations?: number;
  listLagMs?: number;
  dropWatchEvents?: number;
}

/** One thing that goes wrong. Durations are in milliseconds. */
export type FaultAction =
  | { kind: 'end-process'; target: ProcessTarget }
  | { kind: 'freeze-process'; target: ProcessTarget; durationMs: number }
  | { kind: 'platform'; values: PlatformFaultValues; durationMs: number }
  | { kind: 'engine-silent' }
  | { kind: 'two-operators' }
  | { kind: 'crashing-request' }
  | { kind: 'burst'; requests: number }
  | { kind: 'clock-step' };

/** A row of the matrix. */
export interface Fault {
  name: string;
  actions: readonly FaultAction[];
  /** Kinds of causes that may explain a shed, late, failed or unknown request under this fault. */
  allowedCauses: readonly CauseKind[];
  /** Why the row does not apply to any step. */
  notApplicable?: string;
}

/** Longer than the link timeout (1.5 s) and the membership suspicion together. */
const FREEZE_MS = 3_500;
/** Longer than the link timeout of 1.5 s, shorter than probe interval and suspicion together. */
const LINK_SILENCE_MS = 1_900;
const PLATFORM_FAULT_MS = 3_000;
/** About 20 times what the class brief may use at once. */
const BURST_REQUESTS = 160;

const CAPACITY: readonly CauseKind[] = ['queue-wait-over-budget', 'queue-full', 'queue-timeout'];
const ENTRY: readonly CauseKind[] = ['entry-lost', 'caller-disconnected'];
const DISPATCHER: readonly CauseKind[] = [
  'dispatcher-lost',
  'dispatcher-moved',
  'no-healthy-server',
  ...CAPACITY,
];
const SERVER: readonly CauseKind[] = [
  ...['server-crashed', 'server-refused', 'server-slow', 'server-silent'],
  ...['no-healthy-server', 'retry-budget-exhausted', ...CAPACITY],
] as CauseKind[];
const PLATFORM: readonly CauseKind[] = ['platform-unavailable', 'queue-timeout'];
/** An instance may be entry, dispatcher of other shards and owner of claims at the same time. */
const INSTANCE: readonly CauseKind[] = [...ENTRY, ...DISPATCHER, 'platform-unavailable'];

function createFreeze(target: ProcessTarget, durationMs = FREEZE_MS): FaultAction {
  return { kind: 'freeze-process', target, durationMs };
}

function createPlatformFault(values: PlatformFaultValues): FaultAction {
  return { kind: 'platform', values, durationMs: PLATFORM_FAULT_MS };
}

const END_ENTRY: FaultAction = { kind: 'end-process', target: 'entry' };
const END_DISPATCHER: FaultAction = { kind: 'end-process', target: 'dispatcher' };
const END_ENGINE: FaultAction = { kind: 'end-process', target: 'engine' };
const END_SERVICE: FaultAction = { kind: 'end-process', target: 'service' };
const BURST: FaultAction = { kind: 'burst', requests: BURST_REQUESTS };
const PLATFORM_DOWN = createPlatformFault({ outage: true });
const CONFIRMATION_LOST = createPlatformFault({ loseConfirmations: 2 });

/** All rows. */
export const FAULTS: readonly Fault[] = [
  { name: 'entry-killed', actions: [END_ENTRY], allowedCauses: INSTANCE },
  {
    name: 'entry-frozen',
    actions: [createFreeze('entry')],
    allowedCauses: [
      ...INSTANCE,
      'instance-paused',
      'server-slow',
      'server-silent',
      'server-crashed',
    ],
  },
  { name: 'dispatcher-killed', actions: [END_DISPATCHER], allowedCauses: INSTANCE },
  {
    name: 'dispatcher-frozen',
    actions: [createFreeze('dispatcher')],
    allowedCauses: [
      ...INSTANCE,
      'instance-paused',
      'server-slow',
      'server-silent',
      'server-crashed',
    ],
  },
  {
    name: 'link-silent',
    actions: [createFreeze('dispatcher', LINK_SILENCE_MS)],
    allowedCauses: [
      ...INSTANCE,
      'instance-paused',
      'server-slow',
      'server-silent',
      'server-crashed',
    ],
  },
  { name: 'engine-killed', actions: [END_ENGINE], allowedCauses: SERVER },
  { name: 'engine-frozen', actions: [createFreeze('engine')], allowedCauses: SERVER },
  { name: 'engine-silent', actions: [{ kind: 'engine-silent' }], allowedCauses: SERVER },
  { name: 'service-killed', actions: [END_SERVICE], allowedCauses: SERVER },
  { name: 'service-frozen', actions: [createFreeze('service')], allowedCauses: SERVER },
  { name: 'platform-down', actions: [PLATFORM_DOWN], allowedCauses: PLATFORM },
  {
    name: 'platform-slow',
    actions: [createPlatformFault({ delayMs: 700 })],
    allowedCauses: PLATFORM,
  },
  { name: 'confirmation-lost', actions: [CONFIRMATION_LOST], allowedCauses: PLATFORM },
  {
    name: 'watch-gap',
    actions: [createPlatformFault({ dropWatchEvents: 10 })],
    allowedCauses: PLATFORM,
  },
  {
    name: 'list-lagging',
    actions: [createPlatformFault({ listLagMs: 5_000 })],
    allowedCauses: PLATFORM,
  },
  { name: 'two-operators', actions: [{ kind: 'two-operators' }], allowedCauses: [] },
  {
    name: 'crashing-request',
    actions: [{ kind: 'crashing-request' }],
    allowedCauses: [...SERVER, 'poison-request'],
  },
  { name: 'burst', actions: [BURST], allowedCauses: [...CAPACITY, 'server-slow'] },
  {
    name: 'dispatcher-killed+platform-down',
    actions: [END_DISPATCHER, PLATFORM_DOWN],
    allowedCauses: [...INSTANCE, ...PLATFORM],
  },
  {
    name: 'entry-killed+engine-killed',
    actions: [END_ENTRY, END_ENGINE],
    allowedCauses: [...INSTANCE, ...SERVER],
  },
  {
    name: 'service-killed+confirmation-lost',
    actions: [END_SERVICE, CONFIRMATION_LOST],
    allowedCauses: [...SERVER, ...PLATFORM],
  },
  {
    name: 'engine-killed+burst',
    actions: [END_ENGINE, BURST],
    allowedCauses: SERVER,
  },
  {
    name: 'clock-step',
    actions: [{ kind: 'clock-step' }],
    allowedCauses: [],
    notApplicable:
      'setting the clock needs rights over the machine; decisions use performance.now, and the wall clock only dates records, claims (retention of 24 h), UUIDv7 keys and crash reports',
  },
];
