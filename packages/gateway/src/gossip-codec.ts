import { decodeCbor, encodeCbor, isValidGossipMessage } from '@pollendrum/protocol';
import type { GossipMessage, GossipUpdate, ServerRemovedUpdate } from '@pollendrum/protocol';
import type { ServerRemoval } from './server-registry';
import type { LimitFact, RequestTrait, TraitFact } from '@pollendrum/policy';

/** A fact as it travels between instances. */
export type GossipFact =
  AgedTraitFact | ProbeFact | LeavingFact | RemovedFact | ({ kind: 'limit' } & LimitFact);

/** A start of a backend server leaves. */
export interface LeavingFact {
  kind: 'leaving';
  serverKey: string;
}

/** The entry of a backend server has been removed. Entries that the server has written later hold. */
export type RemovedFact = { kind: 'removed' } & ServerRemoval;

/** A fact about a trait with its age instead of its time, since the instances' clocks differ. */
export type AgedTraitFact = { ageMs: number } & (
  { kind: 'crash'; trait: RequestTrait; crashId: string } | { kind: 'sound'; trait: RequestTrait }
);

/** An instance has sent a request with a trait that is held back, as a probe. */
export interface ProbeFact {
  kind: 'probe';
  trait: RequestTrait;
  ageMs: number;
}

export interface GossipMessageContent {
  /** Whether the sender asks for all that the receiver knows. */
  wantsFacts: boolean;
  facts: readonly GossipFact[];
}

export type DecodedGossip =
  { kind: 'message'; message: GossipMessageContent } | { kind: 'invalid'; reason: unknown };

/** Updates of a message that the schema allows. */
const MAX_UPDATES = 64;

export function encodeGossip({ wantsFacts, facts }: GossipMessageContent): Buffer {
  return encodeCbor(['gossip', wantsFacts, facts.map(encodeFact)]);
}

/** Computes the bytes that a fact adds to a message. */
export function measureFact(fact: GossipFact): number {
  return encodeCbor(encodeFact(fact)).length;
}

/** Decodes a datagram of a peer, which may hold any bytes. */
export function decodeGossip(bytes: Buffer): DecodedGossip {
  let message: unknown;
  try {
    message = decodeCbor(bytes);
  } catch (error) {
    return { kind: 'invalid', reason: String(error) };
  }
  if (isValidGossipMessage(message)) return toDecodedGossip(message);
  const reason = isValidGossipMessage.errors;
  const readable = selectValidUpdates(message);
  return isValidGossipMessage(readable) ? toDecodedGossip(readable) : { kind: 'invalid', reason };
}

function toDecodedGossip([, wantsFacts, updates]: GossipMessage): DecodedGossip {
  return { kind: 'message', message: { wantsFacts, facts: updates.map(decodeUpdate) } };
}

/** Leaves out facts that are not valid, such as those of a newer version, unless all are. */
function selectValidUpdates(message: unknown): unknown {
  if (!Array.isArray(message)) return message;
  const [name, wantsFacts, updates] = message as unknown[];
  if (!Array.isArray(updates) || updates.length > MAX_UPDATES) return message;
  const valid = updates.filter((update) => isValidGossipMessage([name, wantsFacts, [update]]));
  return valid.length === 0 ? message : [name, wantsFacts, valid];
}

export function toAgedFact(fact: TraitFact, nowMs: number): AgedTraitFact {
  const { atMs, ...rest } = fact;
  return { ...rest, ageMs: Math.max(0, nowMs - atMs) };
}

export function toTraitFact(fact: AgedTraitFact, nowMs: number): TraitFact {
  const { ageMs, ...rest } = fact;
  return { ...rest, atMs: nowMs - ageMs };
}

function encodeFact(fact: GossipFact): GossipUpdate {
  switch (fact.kind) {
    case 'crash':
      return ['crash', fact.crashId, fact.trait, Math.round(fact.ageMs)];
    case 'sound':
    case 'probe':
      return [fact.kind, fact.trait, Math.round(fact.ageMs)];
    case 'leaving':
      return ['leaving', fact.serverKey];
    case 'removed':
      return encodeRemoval(fact);
    case 'limit':
      return ['limit', fact.serverKey, fact.version, fact.requestsPerSecond ?? null];
  }
}

function decodeUpdate(update: GossipUpdate): GossipFact {
  switch (update[0]) {
    case 'crash':
      return {
        ...{ kind: 'crash', crashId: update[1], trait: update[2] as RequestTrait },
        ageMs: update[3],
      };
    case 'sound':
    case 'probe':
      return { kind: update[0], trait: update[1] as RequestTrait, ageMs: update[2] };
    case 'leaving':
      return { kind: 'leaving', serverKey: update[1] };
    case 'removed':
      return decodeRemoval(update);
    case 'limit':
      return {
        ...{ kind: 'limit', serverKey: update[1], version: update[2] },
        requestsPerSecond: update[3] ?? undefined,
      };
  }
}

/** Leaves out an era of 0 with what only later eras need; instances of the version before eras do not know them. */
function encodeRemoval({ serverId, position, start }: RemovedFact): ServerRemovedUpdate {
  const { era, revision } = position;
  if (era === 0) return ['removed', serverId, revision];
  const { startedAtUnixMs = null, heartbeats = null } = start ?? {};
  return ['removed', serverId, revision, [era, startedAtUnixMs, heartbeats]];
}

function decodeRemoval([, serverId, revision, origin]: ServerRemovedUpdate): RemovedFact {
  const [era, startedAt, heartbeats] = origin ?? [0, null, null];
  const counted = heartbeats === null ? {} : { heartbeats };
  const start = startedAt === null ? undefined : { startedAtUnixMs: startedAt, ...counted };
  return { kind: 'removed', serverId, position: { era, revision }, start };
}
