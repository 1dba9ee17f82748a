import { idleInstances } from './idle-instances';
import type { Measurement } from './measurement';

/** Every measurement, in the order in which they run. */
export const MEASUREMENT_NAMES = ['idle-instances'] as const;

export type MeasurementName = (typeof MEASUREMENT_NAMES)[number];

export const MEASUREMENTS: Record<MeasurementName, Measurement> = {
  'idle-instances': idleInstances,
};
