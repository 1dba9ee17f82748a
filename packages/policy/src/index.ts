export type * from './types';
