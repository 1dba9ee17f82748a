export * from './duty-token';
export * from './lease-term';
