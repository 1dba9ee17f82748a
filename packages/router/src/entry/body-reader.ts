import type { Finding } from '@pollendrum/protocol';
import type { RequestContext } from './request-context';
import { RequestError } from './request-context';

/**
 * Reads a request body. Throws RequestError when the body exceeds the limit, when the caller sends nothing
 * for the idle timeout or disconnects, and when the HTTP parser rejects the body; `getParserFinding` returns
 * the parser error, if any.
 */
export async function readBody(
  context: RequestContext,
  getParserFinding: () => Finding | undefined,
): Promise<Buffer> {
  const { request, limits } = context;
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > limits.maxBodyBytes) throw createTooLargeError(limits.maxBodyBytes);
  // Node leaves 100 Continue to the checkContinue listener; it is sent here, when the body is needed.
  if (/^100-continue$/i.test(request.headers.expect ?? '')) context.response.writeContinue();
  return await new Promise<Buffer>((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => {
      context.closeCallerConnection('caller-slow');
      settle(() => {
        reject(createCancelledError(context));
      });
    }, limits.callerIdleTimeoutMs);
    const settle = (report: () => void) => {
      clearTimeout(timer);
      request.off('data', handleData);
      request.off('end', handleEnd);
      request.off('close', handleClose);
      report();
    };
    const handleData = (chunk: Buffer) => {
      timer.refresh();
      size += chunk.length;
      if (size <= limits.maxBodyBytes) {
        chunks.push(chunk);
        return;
      }
      settle(() => {
        reject(createTooLargeError(limits.maxBodyBytes));
      });
    };
    const handleEnd = () => {
      settle(() => {
        resolve(Buffer.concat(chunks, size));
      });
    };
    const handleClose = () => {
      settle(() => {
        const finding = getParserFinding();
        reject(
          finding === undefined ? createCancelledError(context) : createMalformedError(finding),
        );
      });
    };
    request.on('data', handleData);
    request.on('end', handleEnd);
    request.on('close', handleClose);
    request.on('error', () => undefined);
  });
}

function createTooLargeError(limitBytes: number): RequestError {
  return new RequestError('not-run', { kind: 'body-too-large', limitBytes });
}

function createMalformedError(finding: Finding): RequestError {
  return new RequestError('not-run', { kind: 'bad-request', findings: [finding] });
}

function createCancelledError(context: RequestContext): RequestError {
  const stalledMs = context.limits.callerIdleTimeoutMs;
  return new RequestError('cancelled', context.buildCancellationCause(stalledMs));
}
