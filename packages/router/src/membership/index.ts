export {
  createMembershipTask,
  type MembershipTask,
  type MembershipTaskOptions,
} from './membership-task';
export { MembershipState } from './membership-state';
export type { MembershipEffect, MembershipStateOptions, SelfDescription } from './membership-types';
