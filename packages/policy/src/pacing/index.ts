export * from './stream-pace';
