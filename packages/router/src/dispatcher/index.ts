export { createDispatcherTask } from './dispatcher-task';
export type {
  DispatcherTask,
  DispatcherTaskOptions,
  ShardSchedulerOptions,
} from './dispatcher-options';
