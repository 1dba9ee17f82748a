export { generateAnswerTokens, generateContinuation } from './engine/answers';
export type { ChatMessage } from './engine/answers';
export type { AttemptLogEntry } from './engine/attempt-registry';
export { createEngine } from './engine/engine';
export type { EngineFaults, EngineOptions, EngineStandIn } from './engine/engine';
export type { EngineCounts, EngineModel } from './engine/scheduler';
export type { ListenOptions, StandIn } from './http/host';
export type { LoadReport } from './http/load-reports';
export { createPlatform, MAX_OBJECT_BYTES } from './platform/platform';
export type {
  PlatformCounts,
  PlatformFaults,
  PlatformOptions,
  PlatformStandIn,
} from './platform/platform';
export { computeStock, createService } from './service/service';
export type {
  OrderLog,
  OrderRun,
  ServiceFaults,
  ServiceOptions,
  ServiceStandIn,
} from './service/service';
