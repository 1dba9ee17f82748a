import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFileSync, statSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import type { Settings } from '@pollendrum/protocol';
import type { TlsCredentials } from '../entry/entry-options';
import type { LogPort, Unsubscribe } from '../ports';

/** Files as the settings name them. */
export type TlsFiles = NonNullable<Settings['callerTls']>;

export interface TlsFileWatcherOptions {
  files: TlsFiles;
  /** Setting that names the files, for log lines. */
  setting: 'callerTls' | 'peerTls';
  log: LogPort;
  /** Time between two looks at the files in milliseconds. @default 3000 */
  pollMs?: number;
}

const POLL_MS = 3_000;

/**
 * Reads key files and reads them again when they change. Modification times are polled because mounted
 * secrets are replaced through links, which file notifications miss.
 */
export class TlsFileWatcher implements Disposable {
  readonly #options: TlsFileWatcherOptions;
  readonly #listeners = new Set<(keys: TlsCredentials) => void>();
  readonly #timer: NodeJS.Timeout;
  #keys: TlsCredentials;
  #stamp: string;

  /** @throws Error when a file cannot be read or does not hold a usable key. */
  constructor(options: TlsFileWatcherOptions) {
    this.#options = options;
    // The stamp is taken before the files are read: a change in between is seen at the next look.
    this.#stamp = readStamp(options.files);
    this.#keys = readKeys(options.files);
    this.#timer = setInterval(() => {
      this.#checkFiles();
    }, options.pollMs ?? POLL_MS);
    this.#timer.unref();
  }

  /** The last usable keys. */
  get credentials(): TlsCredentials {
    return this.#keys;
  }

  watchCredentials(listener: (keys: TlsCredentials) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #checkFiles(): void {
    const { files, setting, log } = this.#options;
    const stamp = readStamp(files);
    if (stamp === this.#stamp) return;
    this.#stamp = stamp;
    try {
      this.#keys = readKeys(files);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      log.error('key files cannot be used; the earlier keys stay in use', { setting, reason });
      return;
    }
    const validTo = new X509Certificate(this.#keys.certificate).validTo;
    log.info('key files were read again', { setting, validTo });
    for (const listener of this.#listeners) listener(this.#keys);
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
    this.#listeners.clear();
  }
}

function readStamp(files: TlsFiles): string {
  const names = [files.certificateFile, files.keyFile, files.caFile ?? files.certificateFile];
  return names.map(describeFile).join(' ');
}

function describeFile(file: string): string {
  const stat = statSync(file, { throwIfNoEntry: false });
  return stat === undefined ? 'missing' : `${stat.ino}:${stat.mtimeMs}:${stat.size}`;
}

function readKeys({ certificateFile, keyFile, caFile }: TlsFiles): TlsCredentials {
  const certificate = readFileSync(certificateFile, 'utf8');
  const key = readFileSync(keyFile, 'utf8');
  const ca = caFile === undefined ? undefined : readFileSync(caFile, 'utf8');
  const parsed = new X509Certificate(certificate);
  if (!parsed.checkPrivateKey(createPrivateKey(key))) {
    throw new Error('the private key does not belong to the certificate');
  }
  // OpenSSL ignores a file of authorities that holds none, and every peer would then be refused.
  if (ca !== undefined) new X509Certificate(ca);
  createSecureContext({ cert: certificate, key, ...(ca === undefined ? {} : { ca }) });
  return { certificate, key, ...(ca === undefined ? {} : { ca }) };
}
