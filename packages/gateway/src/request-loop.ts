import type { Dispatch, DispatchRefusal, RequestDispatcher } from './dispatcher';
import type { Exchange } from './exchange';

/** What differs between the kinds of requests while they are sent to one server after the other. */
export interface RequestLoopOptions<V> {
  exchange: Exchange;
  dispatcher: RequestDispatcher;
  /** Time after which the caller leaves without a first byte, in milliseconds. */
  patienceMs: number;
  /** Sends the request to the chosen server and resolves with what the attempt came to. */
  send(dispatch: Dispatch): Promise<V>;
  /** True when the request is finished. */
  handleVerdict(verdict: V, dispatch: Dispatch): boolean;
  /** Nothing more can be sent. */
  handleRefusal(refusal: DispatchRefusal): void;
  /** The time limit is over and the request has no final answer yet. */
  handleDeadline(): void;
}

/** Sends a request to one server after the other until it has its final answer or its time limit is over. */
export async function runRequestLoop<V>(options: RequestLoopOptions<V>): Promise<void> {
  const { exchange, dispatcher, patienceMs } = options;
  const timer = setTimeout(() => {
    if (!exchange.isEnded()) options.handleDeadline();
  }, exchange.getRemainingMs());
  try {
    while (!exchange.isEnded()) {
      const selected = dispatcher.selectServer(patienceMs);
      if (selected.kind === 'refused') {
        options.handleRefusal(selected.refusal);
        return;
      }
      const verdict = await options.send(selected.dispatch);
      if (options.handleVerdict(verdict, selected.dispatch)) return;
    }
  } finally {
    clearTimeout(timer);
  }
}
