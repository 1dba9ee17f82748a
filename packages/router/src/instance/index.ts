export { startInstance } from './start-instance';
export type { StartedInstance } from './start-instance';
export { GracefulShutdown } from './graceful-shutdown';
export type { ShutdownStep, StepReport } from './graceful-shutdown';
export { createInstance } from './instance';
export type { DispatcherTask, Instance, InstanceDependencies, InstanceTasks } from './instance';
export type { InstanceStatus } from './instance-status';
export { watchSignals } from './signals';
export type { SignalSource } from './signals';
