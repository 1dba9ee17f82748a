export * from './leaving-servers';
export * from './server-pauses';
