export type * from './bundle';
export type * from './duties/types';
export * from './gateway';
export * from './gateway-log';
export type { HeaderNames } from './header-codec';
export type * from './log-and-clock';
export type * from './object-store';
export type { DecodeResult, ObjectDecoders } from './store-watchers';
export { TrafficMeter } from './traffic-meter';
