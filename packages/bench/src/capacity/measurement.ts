/** One measured number. */
export interface Figure {
  name: string;
  value: number;
  /** Unit, for example `ms` or `B/s`. */
  unit: string;
}

/** How much is measured. `quick` takes fewer sizes and shorter times and is for checking the command. */
export type MeasurementScope = 'quick' | 'full';

/** What a measurement gets. */
export interface MeasurementContext {
  scope: MeasurementScope;
  /** Directory with the bundled programs. */
  distDirectory: string;
  /** Directory for scratch files, removed afterwards. */
  scratchDirectory: string;
}

/** One measurement: what it runs and the figures that it yields. */
export interface Measurement {
  description: string;
  run: (context: MeasurementContext) => Promise<Figure[]>;
}

/** Creates a figure with the value rounded to four significant digits. */
export function createFigure(name: string, value: number, unit: string): Figure {
  return { name, value: Number(value.toPrecision(4)), unit };
}
