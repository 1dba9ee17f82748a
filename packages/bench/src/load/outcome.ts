/** How a request ended for the load tool. */
export type LoadOutcome =
  | { kind: 'answered' }
  /** A whole answer arrived, but it is not the answer to this request. */
  | { kind: 'mismatched' }
  /** `status` is undefined when no response arrived; `code` is the error's code. */
  | { kind: 'failed'; status: number | undefined; code: string };

/** Describes a request that ended without a response or in the middle of one. */
export function toFailure(error: unknown, status: number | undefined): LoadOutcome {
  const { code, name } = error as { code?: unknown; name?: unknown };
  if (name === 'TimeoutError') return { kind: 'failed', status, code: 'timeout' };
  return { kind: 'failed', status, code: typeof code === 'string' ? code : 'connection_error' };
}

/** The `error.code` of an error body, or `unreadable_error`. */
export function parseErrorCode(body: string): string {
  try {
    const { error } = JSON.parse(body) as { error?: { code?: unknown } };
    return typeof error?.code === 'string' ? error.code : 'unreadable_error';
  } catch {
    return 'unreadable_error';
  }
}
