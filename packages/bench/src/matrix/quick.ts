/** Faults of the quick part: one of each part of the fleet, and those that need no process fault. */
const QUICK_FAULTS: ReadonlySet<string> = new Set([
  'entry-killed',
  'dispatcher-killed',
  'engine-killed',
  'platform-down',
]);
/** Steps of the quick part: one before, one during and one after the backend server's work, and one of control. */
const QUICK_STEPS: ReadonlySet<string> = new Set([
  'claim-written',
  'mid-stream',
  'bundle-accepted',
]);

/** Whether the quick part has the cell; decided by names, never by results. */
export function isQuickCell(faultName: string, stepName: string): boolean {
  return QUICK_FAULTS.has(faultName) && QUICK_STEPS.has(stepName);
}
