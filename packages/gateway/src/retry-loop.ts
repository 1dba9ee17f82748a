import type { Dispatch, DispatchRejection, RequestDispatcher } from './request-dispatcher';
import type { Exchange } from './exchange';

/** The parts of the retry loop that depend on the kind of request. */
export interface RetryLoopOptions<V> {
  exchange: Exchange;
  dispatcher: RequestDispatcher;
  /** Time after which a caller without a first byte is assumed to disconnect, in milliseconds. */
  firstByteTimeoutMs: number;
  /** Sends the request to the chosen server and resolves with the result of the attempt. */
  send(dispatch: Dispatch): Promise<V>;
  /** Returns true when the request is finished. */
  handleResult(result: V, dispatch: Dispatch): boolean;
  /** Called when the request cannot be sent to another server. */
  handleRejection(rejection: DispatchRejection): void;
  /** Called when the deadline passes before the request has its final response. */
  handleDeadline(): void;
}

/** Sends a request to one server after another until it has its final response or its deadline passes. */
export async function runRetryLoop<V>(options: RetryLoopOptions<V>): Promise<void> {
  const { exchange, dispatcher, firstByteTimeoutMs } = options;
  const timer = setTimeout(() => {
    if (!exchange.isEnded()) options.handleDeadline();
  }, exchange.getRemainingMs());
  try {
    while (!exchange.isEnded()) {
      const prepared = dispatcher.createDispatch(firstByteTimeoutMs);
      if (prepared.kind === 'refused') {
        options.handleRejection(prepared.rejection);
        return;
      }
      const result = await options.send(prepared.dispatch);
      if (options.handleResult(result, prepared.dispatch)) return;
      await dispatcher.waitForCrashCheck();
    }
  } finally {
    clearTimeout(timer);
  }
}
