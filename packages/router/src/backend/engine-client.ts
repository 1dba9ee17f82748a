import type { Readable } from 'node:stream';
import { BackendCallError, toBackendCallError } from './backend-errors';
import { readLimitedText } from './limited-body';
import type { ServerAddress, ServerPools } from './server-pools';

/** Response of an engine to a streaming request. */
export interface EngineResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Readable & { dump(): Promise<void> };
}

/** Status of a stream as reported by the engine. */
export type StreamStatus =
  // `offset`: offset of the last generated event. `done`: whether the stream is complete.
  | { kind: 'known'; offset: number; done: boolean }
  | { kind: 'unknown-stream' }
  | { kind: 'unreachable' };

const STATUS_TIMEOUT_MS = 1_000;
const MAX_STATUS_REQUESTS = 2;
const MAX_STATUS_BYTES = 65_536;
const CANCEL_TIMEOUT_MS = 2_000;

/** HTTP client for the streaming protocol of the engines. */
export class EngineClient {
  constructor(readonly pools: ServerPools) {}

  /** Starts an attempt. Throws BackendCallError when no response headers arrive. */
  async openStream(
    server: ServerAddress,
    attemptId: string,
    body: string,
    headers: Record<string, string>,
    signal: AbortSignal,
  ): Promise<EngineResponse> {
    try {
      const response = await this.pools.getPool(server).request({
        method: 'POST',
        path: '/v1/chat/completions',
        headers: { ...headers, 'content-type': 'application/json', 'x-request-id': attemptId },
        body,
        signal,
      });
      return { status: response.statusCode, headers: response.headers, body: response.body };
    } catch (error) {
      throw toBackendCallError(error);
    }
  }

  /**
   * Resumes the stream of an attempt on a new connection, after the event with the given offset (the
   * number in its event id).
   * Throws BackendCallError when the call fails or the status is not 200.
   */
  async resumeStream(
    server: ServerAddress,
    attemptId: string,
    lastOffset: number | undefined,
    signal: AbortSignal,
  ): Promise<EngineResponse> {
    const client = this.pools.createUnpooledClient(server);
    try {
      const resumeHeaders =
        lastOffset === undefined ? {} : { 'last-event-id': `${attemptId}:${lastOffset}` };
      const response = await client.request({
        method: 'GET',
        path: `/v1/streams/${encodeURIComponent(attemptId)}`,
        headers: resumeHeaders,
        signal,
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        throw new BackendCallError(
          true,
          new Error(`the engine refused to resume the stream: status ${response.statusCode}`),
        );
      }
      response.body.once('close', () => void client.destroy());
      return { status: response.statusCode, headers: response.headers, body: response.body };
    } catch (error) {
      void client.destroy();
      throw toBackendCallError(error);
    }
  }

  /** Fetches the status of a stream on a new connection: at most two requests, 1 s each. Never throws. */
  async fetchStreamStatus(server: ServerAddress, attemptId: string): Promise<StreamStatus> {
    for (let attempt = 0; attempt < MAX_STATUS_REQUESTS; attempt += 1) {
      const status = await this.#fetchStatusOnce(server, attemptId);
      if (status.kind !== 'unreachable') return status;
    }
    return { kind: 'unreachable' };
  }

  async #fetchStatusOnce(server: ServerAddress, attemptId: string): Promise<StreamStatus> {
    const client = this.pools.createUnpooledClient(server);
    try {
      const response = await client.request({
        method: 'GET',
        path: `/v1/streams/${encodeURIComponent(attemptId)}/status`,
        signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        return { kind: 'unknown-stream' };
      }
      const text = await readLimitedText(response.body, MAX_STATUS_BYTES);
      const status = JSON.parse(text) as { offset: number; done: boolean };
      return { kind: 'known', offset: status.offset, done: status.done };
    } catch {
      return { kind: 'unreachable' };
    } finally {
      void client.destroy();
    }
  }

  /** Cancels an attempt. Ignores errors, because an engine that is down generates nothing. */
  async cancelStream(server: ServerAddress, attemptId: string): Promise<void> {
    try {
      const response = await this.pools.getPool(server).request({
        method: 'DELETE',
        path: `/v1/streams/${encodeURIComponent(attemptId)}`,
        signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
      });
      await response.body.dump();
    } catch {
      return;
    }
  }
}
