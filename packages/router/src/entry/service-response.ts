import type { Readable } from 'node:stream';
import type { ServiceResponse } from '../backend/service-client';
import type { CallerWriter } from './caller-writer';
import type { RequestContext } from './request-context';

/** How an answer of a service ended. */
export type DeliveryResult =
  | { kind: 'delivered'; body: Buffer | undefined }
  | { kind: 'caller-gone'; body: Buffer | undefined }
  /** The connection to the service failed before the answer was whole. */
  | { kind: 'broken'; isStarted: boolean };

// An answer up to this size is sent only when it is whole, so that a broken one can still become an error.
const WHOLE_ANSWER_BYTES = 65_536;

/**
 * Passes the answer of a service to the caller. The service's answer is read to its end even when the
 * caller is gone, because the claim needs to know how the call ended.
 */
export async function sendServiceResponse(
  context: RequestContext,
  writer: CallerWriter,
  answer: ServiceResponse,
): Promise<DeliveryResult> {
  const { response } = context;
  let buffered: Buffer[] | undefined = [];
  let size = 0;
  try {
    for await (const chunk of answer.body as Readable & AsyncIterable<Buffer>) {
      size += chunk.length;
      if (buffered !== undefined && size <= WHOLE_ANSWER_BYTES) {
        buffered.push(chunk);
        continue;
      }
      await writeParts(context, writer, answer, [...(buffered ?? []), chunk]);
      buffered = undefined;
    }
  } catch {
    return { kind: 'broken', isStarted: response.headersSent };
  }
  const body = buffered === undefined ? undefined : Buffer.concat(buffered, size);
  if (!response.destroyed && !response.headersSent) setHead(context, answer, size);
  const isDelivered = await writer.endResponse(body);
  return { kind: isDelivered ? 'delivered' : 'caller-gone', body };
}

async function writeParts(
  context: RequestContext,
  writer: CallerWriter,
  answer: ServiceResponse,
  parts: readonly Buffer[],
): Promise<void> {
  const { response } = context;
  if (response.destroyed) return;
  if (!response.headersSent) setHead(context, answer, undefined);
  for (const part of parts) response.write(part);
  await writer.waitDrain();
}

function setHead(context: RequestContext, answer: ServiceResponse, size: number | undefined): void {
  const { response, lifecycle, request } = context;
  response.statusCode = answer.status;
  for (const [name, value] of Object.entries(answer.headers)) response.setHeader(name, value);
  response.setHeader('x-request-id', lifecycle.requestId);
  const hasLength = size !== undefined && request.method !== 'HEAD' && answer.status !== 204;
  if (hasLength && answer.status !== 304) response.setHeader('content-length', size);
}
