export * from './decision-log';
export * from './rendezvous';
export * from './retry-budget';
export * from './scheduler';
export type * from './scheduler-options';
export * from './shards';
export type * from './types';
export * from './placement';
export * from './quarantine';
