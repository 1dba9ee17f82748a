import type { Dispatch, DispatchRejection, RequestDispatcher } from './request-dispatcher';
import type { Exchange } from './exchange';

/** What differs between the kinds of requests while they are sent to one server after the other. */
export interface RetryLoopOptions<V> {
  exchange: Exchange;
  dispatcher: RequestDispatcher;
  /** Time after which the caller leaves without a first byte, in milliseconds. */
  firstByteTimeoutMs: number;
  /** Sends the request to the chosen server and resolves with what the attempt came to. */
  send(dispatch: Dispatch): Promise<V>;
  /** True when the request is finished. */
  handleResult(result: V, dispatch: Dispatch): boolean;
  /** Nothing more can be sent. */
  handleRejection(rejection: DispatchRejection): void;
  /** The time limit is over and the request has no final answer yet. */
  handleDeadline(): void;
}

/** Sends a request to one server after the other until it has its final answer or its time limit is over. */
export async function runRetryLoop<V>(options: RetryLoopOptions<V>): Promise<void> {
  const { exchange, dispatcher, firstByteTimeoutMs } = options;
  const timer = setTimeout(() => {
    if (!exchange.isEnded()) options.handleDeadline();
  }, exchange.getRemainingMs());
  try {
    while (!exchange.isEnded()) {
      const selected = dispatcher.selectServer(firstByteTimeoutMs);
      if (selected.kind === 'refused') {
        options.handleRejection(selected.rejection);
        return;
      }
      const result = await options.send(selected.dispatch);
      if (options.handleResult(result, selected.dispatch)) return;
    }
  } finally {
    clearTimeout(timer);
  }
}
