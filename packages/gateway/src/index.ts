export type * from './bundle';
export * from './gateway';
export * from './gateway-log';
export type { HeaderNames } from './header-codec';
export type * from './ports';
export type * from './store-port';
export type { ObjectDecoders } from './store-watchers';
