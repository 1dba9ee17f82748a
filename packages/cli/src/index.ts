export * from './settings-file';
