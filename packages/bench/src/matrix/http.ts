import { request } from 'undici';

const ADMIN_TIMEOUT_MS = 2_000;

/** Thrown when a stand-in or an instance does not serve an admin call. */
export class AdminCallError extends Error {
  override readonly name = 'AdminCallError';
}

/** Reads a JSON document on a connection of its own; throws on failure. */
export async function getJson<T>(
  url: string,
  headers: Record<string, string> = {},
  timeoutMs = ADMIN_TIMEOUT_MS,
): Promise<T> {
  const signal = AbortSignal.timeout(timeoutMs);
  const response = await request(url, { headers, signal, reset: true });
  if (response.statusCode !== 200) {
    await response.body.dump();
    throw new AdminCallError(`${url} answered ${response.statusCode}`);
  }
  return (await response.body.json()) as T;
}

export async function putJson(url: string, body: unknown): Promise<void> {
  await sendJson('PUT', url, body);
}

/** Sets faults of a stand-in. */
export async function sendFaults(baseUrl: string, faults: object): Promise<void> {
  await sendJson('POST', `${baseUrl}/admin/faults`, faults);
}

async function sendJson(method: 'PUT' | 'POST', url: string, body: unknown): Promise<void> {
  const response = await request(url, {
    method,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(ADMIN_TIMEOUT_MS),
    reset: true,
  });
  await response.body.dump();
  if (response.statusCode >= 300) {
    throw new AdminCallError(`${url} answered ${response.statusCode}`);
  }
}
