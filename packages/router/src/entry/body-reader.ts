import type { Finding } from '@pollendrum/protocol';
import type { RequestContext } from './request-context';
import { RequestError } from './request-context';

/**
 * Reads a request body. Throws RequestError when it is larger than the limit or when the caller sends
 * nothing for the idle timeout, and when the parser refused what arrived, which `getParserFinding` tells.
 */
export async function readBody(
  context: RequestContext,
  getParserFinding: () => Finding | undefined,
): Promise<Buffer> {
  const { request, limits } = context;
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > limits.maxBodyBytes) throw createTooLarge(limits.maxBodyBytes);
  // Node adds `100-continue` requests only to a listener, so the invitation is sent here, once the body is wanted.
  if (/^100-continue$/i.test(request.headers.expect ?? '')) context.response.writeContinue();
  return await new Promise<Buffer>((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => {
      context.closeCallerConnection('caller-slow');
      settle(() => {
        reject(createCancelled(context));
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
        reject(createTooLarge(limits.maxBodyBytes));
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
        reject(finding === undefined ? createCancelled(context) : createUnreadable(finding));
      });
    };
    request.on('data', handleData);
    request.on('end', handleEnd);
    request.on('close', handleClose);
    request.on('error', () => undefined);
  });
}

function createTooLarge(limitBytes: number): RequestError {
  return new RequestError('not-run', { kind: 'body-too-large', limitBytes });
}

function createUnreadable(finding: Finding): RequestError {
  return new RequestError('not-run', { kind: 'bad-request', findings: [finding] });
}

function createCancelled(context: RequestContext): RequestError {
  const stalledMs = context.limits.callerIdleTimeoutMs;
  return new RequestError('cancelled', context.buildCancellationCause(stalledMs));
}
