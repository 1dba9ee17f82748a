import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Team } from '@pollendrum/protocol';
import type { ActiveBundle } from '../ports';
import { RequestError } from './request-context';
import type { CallerIdentity } from './request-context';

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;
const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/** Returns the caller's request id if it has a valid format. */
export function parseRequestId(headers: IncomingHttpHeaders): string | undefined {
  const value = headers['x-request-id'];
  return typeof value === 'string' && REQUEST_ID_PATTERN.test(value) ? value : undefined;
}

/** Returns the bearer token of the Authorization header. */
export function parseBearerToken(headers: IncomingHttpHeaders): string | undefined {
  return BEARER_PATTERN.exec(headers.authorization ?? '')?.[1];
}

/** Resolves the team by its API key. Throws RequestError `unauthorized` when the key is missing or unknown. */
export function resolveTeam(active: ActiveBundle, headers: IncomingHttpHeaders): Team {
  const apiKey = parseBearerToken(headers);
  if (apiKey === undefined) throw new RequestError('not-run', { kind: 'unauthorized' });
  const hash = createHash('sha256').update(apiKey).digest('hex');
  const team = active.teamsByKeySha256.get(hash);
  if (team === undefined) throw new RequestError('not-run', { kind: 'unauthorized' });
  return team;
}

/** Resolves team and service class. Throws RequestError when the team is unknown or may not use the class. */
export function resolveCaller(active: ActiveBundle, headers: IncomingHttpHeaders): CallerIdentity {
  const team = resolveTeam(active, headers);
  const requestedClass = headers['x-service-class'];
  const className = typeof requestedClass === 'string' ? requestedClass : team.classes[0];
  const serviceClass = active.classesByName.get(className);
  if (serviceClass === undefined || !team.classes.includes(className)) {
    throw new RequestError('not-run', { kind: 'forbidden-class', className });
  }
  return { active, team: team.name, serviceClass };
}
