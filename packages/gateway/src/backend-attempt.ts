import type { Dispatcher } from 'undici';
import type { LeasedConnection } from './backend-connections';

/** Largest head of a response, in bytes. */
const MAX_HEAD_BYTES = 16_384;
/** Bytes that each header takes beside its name and value: a colon, a space and CRLF. */
const HEADER_OVERHEAD_BYTES = 4;

/** Request of one attempt at a backend server. */
export interface AttemptRequest {
  method: string;
  /** Path with query, as the caller sent it. */
  path: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer | undefined;
}

/** Head of a backend server's response. */
export interface ResponseHead {
  status: number;
  headers: NodeJS.Dict<string | string[]>;
  rawHeaders: string[];
}

/**
 * How an attempt ended. `not-sent`: no byte of the request was written. `withdrawn`: the same, since the server was not to get
 * requests any more. `broken`: the server may have run it.
 */
export type AttemptEnd =
  | { kind: 'complete' }
  | { kind: 'not-sent'; reason: string }
  | { kind: 'withdrawn'; reason: string }
  | { kind: 'broken'; reason: string };

/** Callbacks of an attempt. */
export interface AttemptHandlers {
  /** Called just before the first byte is written; a reason withdraws the attempt. */
  checkSend?(): string | undefined;
  onResponse(head: ResponseHead): void;
  /** Returning false stops reading the response until `resume` is called. */
  onData(chunk: Buffer): boolean;
  onEnd(end: AttemptEnd): void;
}

/** Controls an attempt that has been started. */
export interface RunningAttempt {
  /** Closes the connection, upon which the server stops its work. `onEnd` is not called afterwards. */
  cancel(reason: string): void;
  resume(): void;
}

/** Sends one request on a connection. The connection is released when the attempt has ended. */
export function startAttempt(
  connection: LeasedConnection,
  request: AttemptRequest,
  handlers: AttemptHandlers,
): RunningAttempt {
  let isSent = false;
  let isEnded = false;
  let controller: Dispatcher.DispatchController | undefined;
  const end = (result: AttemptEnd) => {
    if (isEnded) return;
    isEnded = true;
    connection.release(result.kind === 'complete');
    handlers.onEnd(result);
  };
  connection.client.dispatch(
    {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body ?? null,
    },
    {
      onRequestStart(started) {
        controller = started;
        if (isEnded) {
          started.abort(new Error('cancelled'));
          return;
        }
        const reason = handlers.checkSend?.();
        if (reason === undefined) {
          isSent = true;
          return;
        }
        end({ kind: 'withdrawn', reason });
        started.abort(new Error(reason));
      },
      onResponseStart(_, status, headers) {
        if (status < 200 || isEnded) return;
        const rawHeaders = toStrings(controller?.rawHeaders);
        if (measureHead(rawHeaders) <= MAX_HEAD_BYTES) {
          handlers.onResponse({ status, headers, rawHeaders });
          return;
        }
        const reason = `the head of the answer is larger than ${MAX_HEAD_BYTES} bytes`;
        end({ kind: 'broken', reason });
        controller?.abort(new Error(reason));
      },
      onResponseData(_, chunk) {
        connection.recordBody(chunk.length);
        if (!isEnded && !handlers.onData(chunk)) controller?.pause();
      },
      onResponseEnd() {
        if (connection.wasReset()) end({ kind: 'broken', reason: 'reset inside the answer' });
        else end({ kind: 'complete' });
      },
      onResponseError(_, error) {
        end({ kind: isSent ? 'broken' : 'not-sent', reason: describeError(error) });
      },
    },
  );
  return {
    cancel(reason) {
      if (isEnded) return;
      isEnded = true;
      controller?.abort(new Error(reason));
      connection.release(false);
    },
    resume() {
      controller?.resume();
    },
  };
}

function toStrings(raw: unknown): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item: unknown) =>
    Buffer.isBuffer(item) ? item.toString('latin1') : String(item),
  );
}

function measureHead(rawHeaders: readonly string[]): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
}

function describeError(error: Error): string {
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${code}: ${error.message}`;
}
