export { createRoutingTask, type RoutingTask, type RoutingTaskOptions } from './routing-task';
export { buildRoutingView, resolvePoolId, type RoutingPolicy } from './routing-view';
