import type { Readable } from 'node:stream';
import type { ServiceResponse } from '../backend/service-client';
import type { CallerWriter } from './caller-writer';
import type { RequestContext } from './request-context';

/** Result of forwarding a service's response to the caller; `body` is undefined if it was too large to buffer. */
export type DeliveryResult =
  | { kind: 'delivered'; body: Buffer | undefined }
  | { kind: 'caller-gone'; body: Buffer | undefined }
  /** The connection to the service failed before the response was complete. */
  | { kind: 'broken'; isStarted: boolean };

// A response up to this size is sent only once it is complete, so that an error response can still be sent
// when the connection to the service fails.
const MAX_BUFFERED_RESPONSE_BYTES = 65_536;

/**
 * Forwards a service's response to the caller. The response is read to its end even when the caller has
 * disconnected, because the claim records the result of the call.
 */
export async function sendServiceResponse(
  context: RequestContext,
  writer: CallerWriter,
  serviceResponse: ServiceResponse,
): Promise<DeliveryResult> {
  const { response } = context;
  let bufferedChunks: Buffer[] | undefined = [];
  let size = 0;
  try {
    for await (const chunk of serviceResponse.body as Readable & AsyncIterable<Buffer>) {
      size += chunk.length;
      if (bufferedChunks !== undefined && size <= MAX_BUFFERED_RESPONSE_BYTES) {
        bufferedChunks.push(chunk);
        continue;
      }
      await writeChunks(context, writer, serviceResponse, [...(bufferedChunks ?? []), chunk]);
      bufferedChunks = undefined;
    }
  } catch {
    return { kind: 'broken', isStarted: response.headersSent };
  }
  const body = bufferedChunks === undefined ? undefined : Buffer.concat(bufferedChunks, size);
  if (!response.destroyed && !response.headersSent) setHead(context, serviceResponse, size);
  const isDelivered = await writer.endResponse(body);
  return { kind: isDelivered ? 'delivered' : 'caller-gone', body };
}

async function writeChunks(
  context: RequestContext,
  writer: CallerWriter,
  serviceResponse: ServiceResponse,
  chunks: readonly Buffer[],
): Promise<void> {
  const { response } = context;
  if (response.destroyed) return;
  if (!response.headersSent) setHead(context, serviceResponse, undefined);
  for (const chunk of chunks) response.write(chunk);
  await writer.waitDrain();
}

/** Sets status and headers; `size` is the length of the body, undefined when it is streamed. */
function setHead(
  context: RequestContext,
  serviceResponse: ServiceResponse,
  size: number | undefined,
): void {
  const { response, lifecycle, request } = context;
  response.statusCode = serviceResponse.status;
  for (const [name, value] of Object.entries(serviceResponse.headers))
    response.setHeader(name, value);
  response.setHeader('x-request-id', lifecycle.requestId);
  const hasLength =
    size !== undefined && request.method !== 'HEAD' && serviceResponse.status !== 204;
  if (hasLength && serviceResponse.status !== 304) response.setHeader('content-length', size);
}
