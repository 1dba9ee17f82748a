import { buildConnector } from 'undici';

/** Code of a reset; undici takes one for the end of a response without a length. */
const RESET_CODE = 'ECONNRESET';
const BROKEN_CODE = 'UND_ERR_SOCKET';

/** Creates a connector whose resets are errors also inside a response without a length, which a FIN completes. */
export function createStrictConnector(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      // Runs before undici's listener.
      socket?.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === RESET_CODE) error.code = BROKEN_CODE;
      });
      callback(...result);
    });
  };
}
