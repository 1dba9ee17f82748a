export * from './server-pauses';
