export * from './reader-contact';
export * from './reader-ranking';
