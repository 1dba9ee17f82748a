export * from './crash-evidence';
export * from './culprit-selection';
export * from './probe-schedule';
export type * from './request-trait';
