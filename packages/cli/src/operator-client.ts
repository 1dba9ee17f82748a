import type { OutcomeRecord } from '@pollendrum/protocol';
import { computeOperatorToken } from '@pollendrum/router';
import { request } from 'undici';
import { loadSettings, readTextFile } from './settings-file';

/** Operators wait no longer than this for one answer. */
const OPERATOR_TIMEOUT_MS = 10_000;

/** The instance did not answer, or refused. */
export class OperatorRequestError extends Error {
  override readonly name = 'OperatorRequestError';
}

export interface ConnectionFlags {
  settings?: string;
  url?: string;
  'cluster-key-file'?: string;
  'platform-url'?: string;
}

/** Where an operator command connects to. */
export interface Connection {
  instanceUrl: string | undefined;
  platformUrl: string | undefined;
  clusterKey: string | undefined;
}

/**
 * Works out the connection from flags; single flags go before the settings file.
 * @throws FindingsError when a file cannot be read or has findings.
 */
export function resolveConnection(flags: ConnectionFlags): Connection {
  const settings = flags.settings === undefined ? undefined : loadSettings(flags.settings);
  const keyFile = flags['cluster-key-file'];
  const scheme = settings?.callerTls === undefined ? 'http' : 'https';
  const settingsUrl = settings && `${scheme}://${settings.address}:${settings.httpPort}`;
  return {
    instanceUrl: flags.url ?? settingsUrl,
    platformUrl: flags['platform-url'] ?? settings?.platformUrl,
    clusterKey: keyFile === undefined ? settings?.clusterKey : readTextFile(keyFile).trim(),
  };
}

/** Asks one instance's operator endpoint. */
export class OperatorClient {
  readonly #headers: Record<string, string>;

  constructor(
    readonly instanceUrl: string,
    readonly clusterKey: string,
  ) {
    this.#headers = { authorization: `Bearer ${computeOperatorToken(clusterKey)}` };
  }

  /**
   * Reads a JSON document; undefined when it does not exist.
   * @throws OperatorRequestError when the instance does not answer within 10 s or refuses.
   */
  async readJson<T>(path: string): Promise<T | undefined> {
    const url = new URL(path, this.instanceUrl);
    const response = await request(url, {
      headers: this.#headers,
      headersTimeout: OPERATOR_TIMEOUT_MS,
      bodyTimeout: OPERATOR_TIMEOUT_MS,
    }).catch((error: unknown) => {
      throw new OperatorRequestError(`no answer from ${url.origin}: ${String(error)}`);
    });
    if (response.statusCode === 404) {
      await response.body.dump();
      return undefined;
    }
    if (response.statusCode !== 200) {
      const body = await response.body.text();
      throw new OperatorRequestError(`${url.href} answered ${response.statusCode}: ${body}`);
    }
    return (await response.body.json()) as T;
  }

  async findOutcomes(requestId: string): Promise<OutcomeRecord[]> {
    const path = `/admin/outcomes/${encodeURIComponent(requestId)}`;
    const reply = await this.readJson<{ records: OutcomeRecord[] }>(path);
    return reply?.records ?? [];
  }

  async listOutcomes(sinceMs: number): Promise<OutcomeRecord[]> {
    const reply = await this.readJson<{ records: OutcomeRecord[] }>(
      `/admin/outcomes?sinceMs=${sinceMs}`,
    );
    return reply?.records ?? [];
  }
}
