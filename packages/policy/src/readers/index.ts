export * from './reader-contact';
export * from './reader-ranking';
export * from './era-tracker';
