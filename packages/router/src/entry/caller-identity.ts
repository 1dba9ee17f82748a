import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Team } from '@pollendrum/protocol';
import type { ActiveBundle } from '../ports';
import { RequestError } from './request-context';
import type { Caller } from './request-context';

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;
const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/** The caller's request id when it has the allowed form. */
export function parseRequestId(headers: IncomingHttpHeaders): string | undefined {
  const value = headers['x-request-id'];
  return typeof value === 'string' && REQUEST_ID_PATTERN.test(value) ? value : undefined;
}

/** Reads a bearer key. */
export function parseBearerToken(headers: IncomingHttpHeaders): string | undefined {
  return BEARER_PATTERN.exec(headers.authorization ?? '')?.[1];
}

/** Finds the team of a request; throws RequestError with cause `unauthorized`. */
export function resolveTeam(active: ActiveBundle, headers: IncomingHttpHeaders): Team {
  const key = parseBearerToken(headers);
  if (key === undefined) throw new RequestError('not-run', { kind: 'unauthorized' });
  const hash = createHash('sha256').update(key).digest('hex');
  const team = active.teamsByKeySha256.get(hash);
  if (team === undefined) throw new RequestError('not-run', { kind: 'unauthorized' });
  return team;
}

/** Finds team and class of a request; throws RequestError. */
export function resolveCaller(active: ActiveBundle, headers: IncomingHttpHeaders): Caller {
  const team = resolveTeam(active, headers);
  const asked = headers['x-service-class'];
  const className = typeof asked === 'string' ? asked : team.classes[0];
  const serviceClass = active.classesByName.get(className);
  if (serviceClass === undefined || !team.classes.includes(className)) {
    throw new RequestError('not-run', { kind: 'forbidden-class', className });
  }
  return { active, team: team.name, serviceClass };
}
