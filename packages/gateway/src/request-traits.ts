import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import type { RequestTrait } from '@pollendrum/policy';
import type { GatewayTeam } from './bundle';
import type { RequestHead } from './header-codec';

const FINGERPRINT_HEX_DIGITS = 16;
/** Part ids come from callers and have any length; longer ones are hashed, since traits travel in datagrams. */
const MAX_PART_ID_LENGTH = 64;

/** A request whose traits can be listed. */
export interface TraitSource {
  listPartTraits(): RequestTrait[];
  /** The trait that the request shares only with its repetitions. */
  getRepetitionTrait(): RequestTrait;
}

/** What a repetition of a request has in common with it. */
export interface RepetitionInput {
  request: Pick<IncomingMessage, 'method' | 'url'>;
  team: Pick<GatewayTeam, 'name'> | undefined;
  body: Buffer | undefined;
}

/** Lists the parts of the prompt that other requests can share. The last part belongs to the request alone. */
export function listPartTraits({ parts }: Pick<RequestHead, 'parts'>): RequestTrait[] {
  return parts.slice(0, -1).map(({ id }): RequestTrait => `part ${toShortId(id)}`);
}

/** Computes the trait that a request shares only with its repetitions: the same path, team and body. */
export function computeRepetitionTrait({ request, team, body }: RepetitionInput): RequestTrait {
  const hash = createHash('sha1');
  hash.update(`${request.method ?? ''}\n${request.url ?? ''}\n${team?.name ?? ''}\n`);
  if (body !== undefined) hash.update(body);
  return `request ${hash.digest('hex').slice(0, FINGERPRINT_HEX_DIGITS)}`;
}

function toShortId(id: string): string {
  return id.length <= MAX_PART_ID_LENGTH ? id : createHash('sha1').update(id).digest('hex');
}
