import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFileSync, statSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import type { Settings } from '@pollendrum/protocol';
import type { TlsCredentials } from '../entry/entry-options';
import type { LogPort, Unsubscribe } from '../ports';

/** Paths of the TLS files as given in the settings. */
export type TlsFiles = NonNullable<Settings['callerTls']>;

export interface TlsFileWatcherOptions {
  files: TlsFiles;
  /** Setting that contains the paths, for log lines. */
  setting: 'callerTls' | 'peerTls';
  log: LogPort;
  /** Time between two checks of the files in milliseconds. @default 3000 */
  pollIntervalMs?: number;
}

const DEFAULT_POLL_INTERVAL_MS = 3_000;

/**
 * Loads TLS credentials from files and reloads them when the files change. Modification times are polled
 * because mounted secrets are replaced through symbolic links, which file notifications miss.
 */
export class TlsFileWatcher implements Disposable {
  readonly #options: TlsFileWatcherOptions;
  readonly #listeners = new Set<(credentials: TlsCredentials) => void>();
  readonly #timer: NodeJS.Timeout;
  #credentials: TlsCredentials;
  #fileState: string;

  /** @throws Error when a file cannot be read or does not contain a usable certificate or key. */
  constructor(options: TlsFileWatcherOptions) {
    this.#options = options;
    // The state is read before the contents, so that the next check detects a change in between.
    this.#fileState = readFileState(options.files);
    this.#credentials = readCredentials(options.files);
    this.#timer = setInterval(() => {
      this.#checkFiles();
    }, options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS);
    this.#timer.unref();
  }

  /** The last usable credentials. */
  get credentials(): TlsCredentials {
    return this.#credentials;
  }

  watchCredentials(listener: (credentials: TlsCredentials) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #checkFiles(): void {
    const { files, setting, log } = this.#options;
    const fileState = readFileState(files);
    if (fileState === this.#fileState) return;
    this.#fileState = fileState;
    try {
      this.#credentials = readCredentials(files);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error('TLS files cannot be used; the previous credentials stay in use', {
        setting,
        reason,
      });
      return;
    }
    const validTo = new X509Certificate(this.#credentials.certificate).validTo;
    log.info('TLS files reloaded', { setting, validTo });
    for (const listener of this.#listeners) listener(this.#credentials);
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
    this.#listeners.clear();
  }
}

function readFileState(files: TlsFiles): string {
  const paths = [files.certificateFile, files.keyFile, files.caFile ?? files.certificateFile];
  return paths.map(describeFile).join(' ');
}

function describeFile(file: string): string {
  const stat = statSync(file, { throwIfNoEntry: false });
  return stat === undefined ? 'missing' : `${stat.ino}:${stat.mtimeMs}:${stat.size}`;
}

function readCredentials({ certificateFile, keyFile, caFile }: TlsFiles): TlsCredentials {
  const certificate = readFileSync(certificateFile, 'utf8');
  const key = readFileSync(keyFile, 'utf8');
  const ca = caFile === undefined ? undefined : readFileSync(caFile, 'utf8');
  const parsed = new X509Certificate(certificate);
  if (!parsed.checkPrivateKey(createPrivateKey(key))) {
    throw new Error('the private key does not match the certificate');
  }
  // OpenSSL ignores a CA file without certificates, and every peer would then be refused.
  if (ca !== undefined) new X509Certificate(ca);
  createSecureContext({ cert: certificate, key, ...(ca === undefined ? {} : { ca }) });
  return { certificate, key, ...(ca === undefined ? {} : { ca }) };
}
