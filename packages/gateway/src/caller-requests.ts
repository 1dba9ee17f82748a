import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { BodyPacer } from './body-pacer';
import { BodyReader } from './body-reader';
import type { BodyResult } from './body-reader';
import { resolveMaxBodyStallMs } from './caller-bounds';
import type { CallerBoundName, CallerBoundReporter, ResolvedCallerBounds } from './caller-bounds';
import { CallerMemory } from './caller-memory';
import type { MemoryAccount } from './caller-memory';
import {
  closeAfterResponse,
  makeShutdownError,
  sendEarlyErrorResponse,
  sendErrorResponse,
} from './error-response';
import type { ErrorResponse } from './error-response';
import { Exchange } from './exchange';
import type { GatewayContext } from './gateway-context';
import type { RequestHead } from './header-codec';
import { PlainRequestHandler } from './plain-request-handler';
import { DEFAULT_LIMITS, judgeHead, measureHeaderBytes, TOO_LARGE } from './request-head';
import { StreamRequestHandler } from './stream-request-handler';

/** Memory of a request without its headers and body, in bytes: the objects of Node and of the gateway. */
const REQUEST_BYTES = 4_096;
/** How often the headers of a request lie in memory: as read, and by name. */
const HEADER_COPIES = 2;
const REQUEST_TIMEOUT = 408;
/** Memory beside the largest body that is always allowed, in bytes. */
const MIN_EXTRA_BYTES = 2 ** 18;
/** Sent as `retry-after` when there is no memory for a request, in milliseconds. */
const NO_MEMORY_RETRY_AFTER_MS = 500;
const NO_MEMORY: ErrorResponse = {
  ...{ status: 503, reason: "the callers' requests take too much memory" },
  ...{ retryAfterMs: NO_MEMORY_RETRY_AFTER_MS, closesConnection: true },
};

/** Reads, checks and runs the requests of callers within the bounds on what they can make the instance hold. */
export class CallerRequests implements Disposable {
  readonly handlers = new Set<RequestHandler>();
  readonly readers = new Set<BodyReader>();
  readonly memory: CallerMemory;
  private readonly pacer: BodyPacer;

  constructor(
    private readonly context: GatewayContext,
    private readonly bounds: ResolvedCallerBounds,
    private readonly reporter: CallerBoundReporter,
    /** Called when further requests of a connection are not answered. */
    private readonly onLastResponse: (socket: Socket) => void,
  ) {
    this.memory = new CallerMemory({
      clock: context.clock,
      getLimitBytes: () => this.#computeLimitBytes(),
      maxWaitMs: bounds.maxMemoryWaitMs,
    });
    this.pacer = new BodyPacer({
      partsPerSecond: bounds.maxBodyPartsPerSecond,
      clock: context.clock,
      onStop: () => {
        reporter.report('body-parts');
      },
    });
  }

  [Symbol.dispose](): void {
    this.pacer[Symbol.dispose]();
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { context } = this;
    const arrivedAtMs = context.clock();
    const head = context.codec.decodeRequest(request.headers);
    const reject = (error: ErrorResponse) => {
      this.#reject({ request, response, expectsContinue }, head, error);
    };
    let judgement = await judgeHead(context, request, head.teamKey);
    if (judgement.kind === 'refused') {
      reject(judgement.error);
      return;
    }
    const owner = {
      address: request.socket.remoteAddress ?? '',
      team: judgement.match.team?.name,
    };
    using account = this.memory.createAccount(owner);
    if (!account.requestNow(REQUEST_BYTES + HEADER_COPIES * measureHeaderBytes(request))) {
      this.reporter.report('memory');
      reject(NO_MEMORY);
      return;
    }
    let bytes: Buffer | undefined;
    if (hasBody(request)) {
      const body = await this.#readBody(request, account, () => {
        if (expectsContinue) response.writeContinue();
        expectsContinue = false;
      });
      if (body.kind === 'aborted') return;
      if (body.kind !== 'complete') {
        reject(makeBodyError(body.kind));
        return;
      }
      bytes = body.bytes;
      // The configuration may have changed while the body arrived.
      judgement = await judgeHead(context, request, head.teamKey);
      if (judgement.kind === 'refused') {
        reject(judgement.error);
        return;
      }
    }
    const { match, table } = judgement;
    context.metrics.openRequests.inc();
    const exchange = new Exchange(context, {
      request,
      response,
      head,
      route: match.route,
      team: match.team,
      body: bytes,
      arrivedAtMs,
      bundleVersion: table.version,
      rank: table.computeRank(match.route, match.team),
    });
    bytes = undefined;
    const handler = createHandler(exchange, response);
    this.handlers.add(handler);
    try {
      await handler.run();
    } finally {
      this.handlers.delete(handler);
      exchange.releaseBody();
    }
  }

  /** Gives up bodies that make too little progress, and grants memory that answers have returned. */
  checkProgress(): void {
    const { bounds, memory } = this;
    const limits = this.context.getRouteTable()?.bundle.limits ?? DEFAULT_LIMITS;
    const calmStallMs = resolveMaxBodyStallMs(bounds, limits);
    const calm = { maxStallMs: calmStallMs, minBytesPerSecond: bounds.minBodyBytesPerSecond };
    const contended = {
      maxStallMs: Math.min(bounds.maxContendedBodyStallMs, calmStallMs),
      minBytesPerSecond: bounds.minContendedBodyBytesPerSecond,
    };
    const paceBounds = memory.isContended() ? contended : calm;
    for (const reader of this.readers) reader.checkProgress(paceBounds);
    memory.grantWaiting();
  }

  /** Answers the open requests whose servers have not, or cuts off what has begun, before the instance stops. */
  endAll(): void {
    for (const reader of this.readers) reader.handleShutdown();
    for (const handler of this.handlers) handler.handleShutdown();
  }

  async #readBody(
    request: IncomingMessage,
    account: MemoryAccount,
    sendContinue: () => void,
  ): Promise<BodyResult> {
    const limits = this.context.getRouteTable()?.bundle.limits ?? DEFAULT_LIMITS;
    const reader = new BodyReader({
      ...{ request, account, sendContinue, clock: this.context.clock, pacer: this.pacer },
      maxBytes: limits.maxBodyBytes,
    });
    this.readers.add(reader);
    try {
      const result = await reader.read();
      const bound = BOUND_BY_BODY_RESULT[result.kind];
      if (bound !== undefined) this.reporter.report(bound);
      return result;
    } finally {
      this.readers.delete(reader);
    }
  }

  #reject(call: RejectedCall, head: RequestHead, error: ErrorResponse): void {
    const { context } = this;
    const { request, response, expectsContinue } = call;
    context.log.warn('request not answered', {
      requestId: head.requestId,
      outcome: 'refused',
      status: error.status,
      reason: error.reason,
      bundleVersion: context.getRouteTable()?.version,
      keyAgeMs: Math.round(context.keyFreshness.getAgeMs(context.clock())),
    });
    context.metrics.requests.inc({ route: 'none', outcome: 'refused' });
    // A caller that was not told to send its body may send it or not.
    const closesConnection = error.closesConnection ?? (context.isDraining() || expectsContinue);
    const answer = { ...error, closesConnection };
    if (closesConnection) this.onLastResponse(request.socket);
    // The rest of a body that comes too slowly or in small parts is not worth being read.
    const isWorthless = error.status === REQUEST_TIMEOUT;
    if (isWorthless) closeAfterResponse(request, response);
    if (expectsContinue || !hasBody(request) || request.complete || isWorthless) {
      sendErrorResponse(response, answer);
      return;
    }
    const { maxBodyBytes } = context.getRouteTable()?.bundle.limits ?? DEFAULT_LIMITS;
    sendEarlyErrorResponse(request, response, answer, maxBodyBytes);
  }

  /** At least one body of the largest size fits, also while it is moved to a larger block. */
  #computeLimitBytes(): number {
    const { maxHeldBytes, maxHeldBytesWithAnswers } = this.bounds;
    const { maxBodyBytes } = this.context.getRouteTable()?.bundle.limits ?? DEFAULT_LIMITS;
    const besideAnswers = maxHeldBytesWithAnswers - this.context.answerBuffers.countBytes();
    return Math.max(Math.min(maxHeldBytes, besideAnswers), 2 * maxBodyBytes + MIN_EXTRA_BYTES);
  }
}

interface RejectedCall {
  request: IncomingMessage;
  response: ServerResponse;
  /** Whether the caller waits for 100 before it sends its body. */
  expectsContinue: boolean;
}

const BOUND_BY_BODY_RESULT: Partial<Record<BodyResult['kind'], CallerBoundName>> = {
  'no-memory': 'memory',
  stalled: 'body-stalled',
  slow: 'body-slow',
  'too-many-parts': 'body-parts',
};

/** Makes the response to a request whose body was not received. */
function makeBodyError(kind: Exclude<BodyResult['kind'], 'complete' | 'aborted'>): ErrorResponse {
  switch (kind) {
    case 'too-large':
      return TOO_LARGE;
    case 'no-memory':
      return NO_MEMORY;
    case 'stalled':
    case 'slow':
      return { status: 408, reason: 'the body arrives too slowly', closesConnection: true };
    case 'too-many-parts':
      return { status: 408, reason: 'the body arrives in too many parts', closesConnection: true };
    case 'shutdown':
      return makeShutdownError(false);
  }
}

type RequestHandler = PlainRequestHandler | StreamRequestHandler;

function createHandler(exchange: Exchange, response: ServerResponse): RequestHandler {
  switch (exchange.input.route.kind) {
    case 'stream': {
      const handler = new StreamRequestHandler(exchange);
      response.on('close', () => {
        handler.handleCallerDisconnect();
      });
      response.on('drain', () => {
        handler.handleCallerWritable();
      });
      return handler;
    }
    case 'idempotent':
    case 'non-idempotent': {
      const handler = new PlainRequestHandler(exchange);
      response.on('close', () => {
        handler.handleCallerDisconnect();
      });
      return handler;
    }
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
