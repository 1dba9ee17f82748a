export * from './instance';
export type * from './ports';
export { computeOperatorToken } from './entry';
