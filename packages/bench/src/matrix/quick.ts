/** Faults of the quick part: one instance, one backend server, and the platform. */
const QUICK_FAULTS: ReadonlySet<string> = new Set([
  'entry-killed',
  'engine-killed',
  'platform-down',
]);
/** Steps of the quick part: one of a request and one of control. */
const QUICK_STEPS: ReadonlySet<string> = new Set(['mid-stream', 'bundle-accepted']);

/** Whether the quick part has the cell; decided by names, never by results. */
export function isQuickCell(faultName: string, stepName: string): boolean {
  return QUICK_FAULTS.has(faultName) && QUICK_STEPS.has(stepName);
}
