import { bundle } from './bundle';
import { claims } from './claims';
import { idleInstances } from './idle-instances';
import type { Measurement } from './measurement';
import { membership, membershipCut, membershipLoss } from './membership';
import { outcomes } from './outcomes';
import { placement } from './placement';
import { relay } from './relay';
import { routing } from './routing';
import { scheduler } from './scheduler';

/** Every measurement, in the order in which they run. */
export const MEASUREMENT_NAMES = [
  'scheduler',
  'placement',
  'routing',
  'bundle',
  'outcomes',
  'claims',
  'membership',
  'membership-loss',
  'membership-cut',
  'relay',
  'idle-instances',
] as const;

export type MeasurementName = (typeof MEASUREMENT_NAMES)[number];

export const MEASUREMENTS: Record<MeasurementName, Measurement> = {
  scheduler,
  placement,
  routing,
  bundle,
  outcomes,
  claims,
  membership,
  'membership-loss': membershipLoss,
  'membership-cut': membershipCut,
  relay,
  'idle-instances': idleInstances,
};
