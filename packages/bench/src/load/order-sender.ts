import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { buildHeaders } from './options';
import type { ResolvedLoadOptions } from './options';
import { parseErrorCode, toFailure } from './outcome';
import type { LoadOutcome } from './outcome';
import type { LoadRecorder } from './result';

const MAX_QUANTITY = 9;

/** Sends one order under a unique idempotency key and checks its confirmation. Never throws. */
export async function sendOrder(
  options: ResolvedLoadOptions,
  recorder: LoadRecorder,
  dispatcher: Dispatcher,
  idempotencyKey: string,
  dueMs: number,
): Promise<LoadOutcome> {
  const outcome = await requestOrder(options, dispatcher, idempotencyKey);
  if (outcome.kind === 'answered') recorder.order.recordMs(performance.now() - dueMs);
  recorder.recordOrder({ idempotencyKey, outcome: outcome.kind });
  return outcome;
}

async function requestOrder(
  options: ResolvedLoadOptions,
  dispatcher: Dispatcher,
  idempotencyKey: string,
): Promise<LoadOutcome> {
  const order = {
    item: `item ${idempotencyKey}`,
    quantity: 1 + (idempotencyKey.length % MAX_QUANTITY),
  };
  let status: number | undefined;
  try {
    const response = await request(options.baseUrl + options.orderPath, {
      method: 'POST',
      headers: { ...buildHeaders(options), 'Idempotency-Key': idempotencyKey },
      body: JSON.stringify(order),
      dispatcher,
      signal: AbortSignal.timeout(options.requestTimeoutMs),
    });
    status = response.statusCode;
    const body = await response.body.text();
    if (status >= 300) return { kind: 'failed', status, code: parseErrorCode(body) };
    const confirmed = JSON.parse(body) as Partial<typeof order> & { idempotencyKey?: string };
    const isOwn =
      confirmed.item === order.item &&
      confirmed.quantity === order.quantity &&
      confirmed.idempotencyKey === idempotencyKey;
    return { kind: isOwn ? 'answered' : 'mismatched' };
  } catch (error) {
    return toFailure(error, status);
  }
}
