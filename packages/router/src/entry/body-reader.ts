import type { Finding } from '@pollendrum/protocol';
import { BodyBlock } from './body-memory';
import type { BodyMemoryAccount } from './body-memory';
import type { RequestContext } from './request-context';
import { RequestError } from './request-context';

/** Sent as `retry-after` when there is no memory for a body, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/**
 * Reads a request body. Throws RequestError when the body exceeds the limit, when there is no memory for it, when the caller sends nothing
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
  const { account } = context;
  const block = new BodyBlock(account, limits.maxBodyBytes);
  if (declaredBytes > 0 && !block.request(declaredBytes)) throw createNoMemoryError(account);
  // Node leaves 100 Continue to the checkContinue listener; it is sent here, when the body is needed.
  if (/^100-continue$/i.test(request.headers.expect ?? '')) context.response.writeContinue();
  return await new Promise<Buffer>((resolve, reject) => {
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
      if (size > limits.maxBodyBytes) {
        settle(() => {
          reject(createTooLargeError(limits.maxBodyBytes));
        });
      } else if (!block.add(chunk)) {
        settle(() => {
          reject(createNoMemoryError(account));
        });
      }
    };
    const handleEnd = () => {
      settle(() => {
        resolve(block.take());
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

function createNoMemoryError({ limitBytes }: BodyMemoryAccount): RequestError {
  return new RequestError('not-run', { kind: 'body-memory-full', limitBytes }, RETRY_AFTER_MS);
}

function createMalformedError(finding: Finding): RequestError {
  return new RequestError('not-run', { kind: 'bad-request', findings: [finding] });
}

function createCancelledError(context: RequestContext): RequestError {
  const stalledMs = context.limits.callerIdleTimeoutMs;
  return new RequestError('cancelled', context.buildCancellationCause(stalledMs));
}
