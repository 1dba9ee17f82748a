export * from './engine-profile';
export * from './failure-tracker';
export * from './load-table';
export * from './prefix-view';
export * from './service-placement';
export * from './share-meter';
export * from './stream-admission';
export * from './stream-placement';
