export { createEntryTask } from './entry-task';
export type { EntryTask } from './entry-task';
export type { EntryOptions, RetryBudget, TlsCredentials } from './entry-options';
export type { ErrorBody } from './error-responses';
export type { ChooseShard } from './grant-client';
export { computeOperatorToken } from './operator-endpoint';
export type { RequestState } from './request-state';
