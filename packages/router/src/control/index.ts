export { createBundleTask } from './bundle-task';
export type { BundleTask, BundleTaskOptions } from './bundle-task';
export type { ChooseOwner } from './owner-candidates';
export { createClaimsTask } from './claims-task';
export type { ClaimsTask, ClaimsTaskOptions } from './claims-task';
export { createInstanceListTask } from './instance-list-task';
export type { InstanceListTask, InstanceListTaskOptions } from './instance-list-task';
export { createOutcomeTask } from './outcome-task';
export type { OutcomeTask, OutcomeTaskOptions } from './outcome-task';
