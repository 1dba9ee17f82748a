export * from './duty-token';
export * from './lease-term';
export * from './usage-clock';
export * from './usage-counts';
export * from './usage-plan';
