import type { Unsubscribe } from '../ports';
import type { Instance } from './instance';

/** The parts of `process` that signal handling uses. */
export interface SignalSource {
  on(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
  off(signal: 'SIGTERM' | 'SIGINT', listener: () => void): unknown;
  exit(code: number): void;
}

const INTERRUPTED_EXIT_CODE = 130;

/** SIGTERM and SIGINT stop gracefully; a second SIGTERM has no effect, a second SIGINT exits at once. */
export function watchSignals(instance: Pick<Instance, 'stop'>, source: SignalSource): Unsubscribe {
  let interrupts = 0;
  let isStopping = false;
  const handleTerm = () => {
    if (isStopping) return;
    isStopping = true;
    void instance.stop().then(() => {
      source.exit(0);
    });
  };
  const handleInterrupt = () => {
    interrupts += 1;
    if (interrupts > 1) source.exit(INTERRUPTED_EXIT_CODE);
    else handleTerm();
  };
  source.on('SIGTERM', handleTerm);
  source.on('SIGINT', handleInterrupt);
  return () => {
    source.off('SIGTERM', handleTerm);
    source.off('SIGINT', handleInterrupt);
  };
}
