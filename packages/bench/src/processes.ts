import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** How to start a process of this repository. */
export interface ProcessOptions {
  /** Path of the bundle, e.g. `dist/stand-ins.cjs`. */
  script: string;
  /**
   * Arguments after the script.
   * @default []
   */
  args?: readonly string[];
  /**
   * Variables added to this process's environment.
   * @default {}
   */
  env?: Readonly<Record<string, string>>;
  /**
   * Longest wait for the ready line, in milliseconds.
   * @default 10000
   */
  readyTimeoutMs?: number;
  /**
   * Longest wait for the exit after SIGTERM, in milliseconds; then SIGKILL follows.
   * @default 10000
   */
  stopTimeoutMs?: number;
  /**
   * Called with each line of standard output.
   * @default undefined
   */
  onLine?: (line: string) => void;
}

/** The line that a process prints when it listens; it may carry further fields. */
export interface ReadyLine {
  ready: true;
  port: number;
  [field: string]: unknown;
}

/** How a process ended. */
export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

/** Thrown when a process exits or stays silent before its ready line. */
export class ProcessStartError extends Error {
  override readonly name = 'ProcessStartError';
}

const DEFAULT_READY_TIMEOUT_MS = 10_000;
const DEFAULT_STOP_TIMEOUT_MS = 10_000;
/** The last characters of standard error that are kept for error messages. */
const KEPT_STDERR_CHARACTERS = 16_384;

/** A started process. Disposal ends it with SIGTERM, or SIGKILL when that has no effect in time. */
export class ManagedProcess implements AsyncDisposable {
  /** Settles when the process has exited. */
  readonly exited: Promise<ProcessExit>;
  /** Undefined until the ready line arrived. */
  private ready: ReadyLine | undefined;
  private stderr = '';
  private isRunning = true;

  constructor(
    private readonly child: ChildProcess,
    private readonly options: ProcessOptions,
  ) {
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.isRunning = false;
        resolve({ code, signal });
      });
      // A process that could not be started emits no exit.
      child.once('error', (error) => {
        this.isRunning = false;
        this.stderr += error.message;
        resolve({ code: null, signal: null });
      });
    });
    child.stderr?.setEncoding('utf8').on('data', (text: string) => {
      this.stderr = (this.stderr + text).slice(-KEPT_STDERR_CHARACTERS);
    });
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get port(): number {
    return this.readyLine.port;
  }

  get readyLine(): ReadyLine {
    if (!this.ready) throw new ProcessStartError('the process is not ready');
    return this.ready;
  }

  /** The end of what the process wrote to standard error. */
  getStderr(): string {
    return this.stderr;
  }

  /** Waits for the ready line; throws `ProcessStartError` when it does not come. */
  async waitForReady(): Promise<void> {
    const timeoutMs = this.options.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
    const ready = await new Promise<ReadyLine | undefined>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs, undefined);
      const settle = (line: ReadyLine | undefined) => {
        clearTimeout(timer);
        resolve(line);
      };
      void this.exited.then(() => {
        settle(undefined);
      });
      if (!this.child.stdout) return;
      // The reader stays, so that later output does not fill the pipe.
      createInterface({ input: this.child.stdout }).on('line', (line) => {
        this.options.onLine?.(line);
        const parsed = parseReadyLine(line);
        if (parsed) settle(parsed);
      });
    });
    if (!ready) {
      const { script } = this.options;
      throw new ProcessStartError(`${script} did not become ready: ${this.stderr.trim()}`);
    }
    this.ready = ready;
  }

  /** Stops (SIGSTOP) or continues (SIGCONT) the process. */
  setFrozen(isFrozen: boolean): void {
    this.sendSignal(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Ends the process at once with SIGKILL. */
  async endNow(): Promise<ProcessExit> {
    this.sendSignal('SIGKILL');
    return this.exited;
  }

  /** Ends the process with SIGTERM, and with SIGKILL after the stop timeout. */
  async stop(): Promise<ProcessExit> {
    // A frozen process handles SIGTERM only after it continues.
    this.sendSignal('SIGCONT');
    this.sendSignal('SIGTERM');
    const timeoutMs = this.options.stopTimeoutMs ?? DEFAULT_STOP_TIMEOUT_MS;
    const timer = setTimeout(() => {
      this.sendSignal('SIGKILL');
    }, timeoutMs);
    const exit = await this.exited;
    clearTimeout(timer);
    return exit;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.stop();
  }

  /** Sends a signal; no effect on a process that exited, whose id may belong to another one. */
  sendSignal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }
}

/** Processes that end together. They are also killed when this process exits without disposal. */
export class ProcessGroup implements AsyncDisposable {
  private readonly processes = new Set<ManagedProcess>();
  private readonly endAll = () => {
    for (const process of this.processes) process.sendSignal('SIGKILL');
  };

  constructor() {
    process.once('exit', this.endAll);
  }

  /** Starts a process and waits until it is ready; throws `ProcessStartError`. */
  async start(options: ProcessOptions): Promise<ManagedProcess> {
    const child = spawn(process.execPath, [options.script, ...(options.args ?? [])], {
      env: { ...process.env, ...options.env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const managed = new ManagedProcess(child, options);
    this.processes.add(managed);
    void managed.exited.then(() => this.processes.delete(managed));
    try {
      await managed.waitForReady();
    } catch (error) {
      await managed.endNow();
      throw error;
    }
    return managed;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.processes].map((managed) => managed.stop()));
    process.off('exit', this.endAll);
  }
}

function parseReadyLine(line: string): ReadyLine | undefined {
  try {
    const value = JSON.parse(line) as Partial<ReadyLine> | null;
    return value?.ready === true && typeof value.port === 'number'
      ? (value as ReadyLine)
      : undefined;
  } catch {
    return undefined;
  }
}
