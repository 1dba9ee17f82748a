export { createLinkTask, type LinkTask, type LinkTaskOptions } from './link-task';
export type { LinkTls } from './socket-factory';
