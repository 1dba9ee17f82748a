import type { Unsubscribe } from '../ports';
import type { Instance } from './instance';

/** The parts of `process` that signal handling uses. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
  off(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
  exit(code: number): void;
}

const SIGINT_EXIT_CODE = 130;

/**
 * Stops the instance gracefully on SIGTERM or SIGINT. A second SIGTERM has no effect; a second SIGINT exits
 * the process immediately.
 */
export function watchSignals(instance: Pick<Instance, 'stop'>, source: SignalSource): Unsubscribe {
  let sigintCount = 0;
  let isStopping = false;
  const handleSigterm = () => {
    if (isStopping) return;
    isStopping = true;
    void instance.stop().then(() => {
      source.exit(0);
    });
  };
  const handleSigint = () => {
    sigintCount += 1;
    if (sigintCount > 1) source.exit(SIGINT_EXIT_CODE);
    else handleSigterm();
  };
  source.on('SIGTERM', handleSigterm);
  source.on('SIGINT', handleSigint);
  return () => {
    source.off('SIGTERM', handleSigterm);
    source.off('SIGINT', handleSigint);
  };
}
