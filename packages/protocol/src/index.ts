export * from './causes/describe-cause';
export * from './codec/framing';
export * from './findings/findings';
export type * from './generated/types';
export * from './generated/validators';
export * from './headers/hop-by-hop-headers';
