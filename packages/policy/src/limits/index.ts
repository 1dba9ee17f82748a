export * from './limited-admission';
export * from './server-limits';
