import type { BackendServer } from './bundle';

/** Makes the key of one process of a backend server, which can start again under the same id. */
export function makeServerKey({
  serverId,
  startedAtUnixMs,
}: Pick<BackendServer, 'serverId' | 'startedAtUnixMs'>): string {
  return `${serverId}@${(startedAtUnixMs ?? 0).toString(36)}`;
}

/** Parses the id of the server from its key. */
export function parseServerId(serverKey: string): string {
  return serverKey.slice(0, serverKey.lastIndexOf('@'));
}
