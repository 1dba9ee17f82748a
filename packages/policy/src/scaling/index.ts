export * from './fleet-plan';
export * from './load-forecast';
export * from './order-book';
export * from './service-scaler';
export type * from './types';
