import { HttpError } from './host';

/**
 * Checks a fault update against the faults in force: known names and values of the same type only.
 * Numbers may not be negative. Throws `HttpError` 400 that names the first bad field.
 */
export function parseFaults<F extends object>(
  update: Record<string, unknown>,
  known: F,
): Partial<F> {
  for (const [name, value] of Object.entries(update)) {
    const current: unknown = Object.entries(known).find(([key]) => key === name)?.[1];
    const isUsable =
      typeof value === typeof current && (typeof value !== 'number' || (value >= 0 && value < 1e9));
    if (!isUsable)
      throw new HttpError(400, 'bad_fault', `fault ${name} is unknown or has a bad value`);
  }
  return update as Partial<F>;
}
