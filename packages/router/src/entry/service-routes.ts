import { createHash } from 'node:crypto';
import type { Service, ServiceRoute } from '@pollendrum/protocol';

/** Service and path of a call. */
export interface ServicePath {
  serviceName: string;
  /** Path below the service with its query, as the caller sent it. */
  path: string;
  /** Decoded path without the query, which routes are matched against. */
  routePath: string;
}

export type ServicePathResult = { ok: true; path: ServicePath } | { ok: false; message: string };

const SERVICE_PATTERN = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const UUID_V7_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Parses a path below /services. Rejects paths that a service may normalize differently from the router:
 * such a call could reach a non-idempotent route while the router applies the rules of an idempotent route.
 */
export function parseServicePath(url: string): ServicePathResult {
  const match = SERVICE_PATTERN.exec(url);
  if (match === null) return { ok: false, message: 'must be /services/NAME/...' };
  const rawPath = match[2] ?? '/';
  const routePath = decodePath(rawPath);
  if (routePath === undefined) return { ok: false, message: 'has an invalid percent-encoding' };
  const isAmbiguous = /%2f|%5c|\\/i.test(rawPath) || /\/\/|\/\.{1,2}(\/|$)/.test(routePath);
  if (isAmbiguous) {
    return { ok: false, message: 'must not contain empty, . or .. segments or encoded slashes' };
  }
  const path = `${rawPath}${match[3] ?? ''}`;
  return { ok: true, path: { serviceName: match[1] ?? '', path, routePath } };
}

function decodePath(rawPath: string): string | undefined {
  try {
    return decodeURIComponent(rawPath);
  } catch {
    return undefined;
  }
}

/** Finds the route with the same method and the longest matching prefix. */
export function findRoute(
  service: Service,
  method: string,
  routePath: string,
): ServiceRoute | undefined {
  return service.routes
    .filter((route) => route.method === method && routePath.startsWith(route.pathPrefix))
    .reduce<ServiceRoute | undefined>(
      (longest, route) =>
        longest === undefined || route.pathPrefix.length > longest.pathPrefix.length
          ? route
          : longest,
      undefined,
    );
}

/** Whether the value of Idempotency-Key has 1 to 255 printable ASCII characters without spaces. */
export function isIdempotencyKey(value: unknown): value is string {
  return typeof value === 'string' && IDEMPOTENCY_KEY_PATTERN.test(value);
}

/** Computes the hash under which an idempotency key is claimed. */
export function hashIdempotencyKey(team: string, service: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([team, service, key]))
    .digest('hex');
}

/** Computes the age of an idempotency key that is a UUIDv7, in milliseconds; undefined for other keys, whose age is unknown. */
export function computeKeyAgeMs(key: string, nowMs: number): number | undefined {
  if (!UUID_V7_PATTERN.test(key)) return undefined;
  return nowMs - Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16);
}
