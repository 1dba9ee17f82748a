export * from './body-progress';
export * from './connection-choice';
export * from './memory-shares';
export * from './part-pace';
