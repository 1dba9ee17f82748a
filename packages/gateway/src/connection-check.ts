import { connect } from 'node:net';
import type { Socket } from 'node:net';

/**
 * Result of opening a connection: `refused` when no process listens there, `no-answer` when the host is silent. `failed` tells
 * nothing about the process: the server may turn connections away, or this instance may be unable to open one.
 */
export type ConnectionCheck = 'open' | 'refused' | 'no-answer' | 'failed';

/** Time after which a host that has not answered counts as silent, in milliseconds. */
const CHECK_TIMEOUT_MS = 700;

/**
 * Opens a connection and closes it at once; sends no request.
 *
 * @param openConnection `connect` of `node:net` by default
 */
export function checkConnection(
  host: string,
  port: number,
  openConnection: (port: number, host: string) => Socket = connect,
): Promise<ConnectionCheck> {
  return new Promise((resolve) => {
    const socket = openConnection(port, host);
    const settle = (result: ConnectionCheck) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(settle, CHECK_TIMEOUT_MS, 'no-answer');
    socket.once('connect', () => {
      settle('open');
    });
    socket.once('error', ({ code }: NodeJS.ErrnoException) => {
      settle(code === 'ECONNREFUSED' ? 'refused' : 'failed');
    });
  });
}
