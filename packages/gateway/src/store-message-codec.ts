import { decodeCbor, encodeCbor, isValidStoreMessage } from '@pollendrum/protocol';
import type { StoreChange } from '@pollendrum/protocol';
import { measureChange } from './change-log';
import type { SharedChange } from './change-log';

/** Changes of one kind of object as an instance tells them to another one. */
export interface KindNews {
  kind: string;
  /** Revision after which the changes begin, and up to which they are complete. */
  fromRevision: number;
  toRevision: number;
  /**
   * Time since the sender's objects were known to be complete, in milliseconds; undefined if they are not, or if more changes
   * follow.
   */
  ageMs: number | undefined;
  /** Undefined if the sender does not have the changes. */
  changes: readonly SharedChange[] | undefined;
}

/** What an instance knows of a kind of object. */
export interface KindPosition {
  kind: string;
  /** Revision of the store up to which it knows all changes. */
  revision: number;
  /** Time since its objects were known to be complete, in milliseconds; undefined if they are not. */
  ageMs: number | undefined;
}

export type StoreMessageContent =
  | {
      kind: 'question';
      questionId: number;
      instanceId: string;
      positions: readonly KindPosition[];
    }
  | {
      kind: 'news';
      /** Question that is answered; 0 if none was asked. */
      questionId: number;
      instanceId: string;
      news: readonly KindNews[];
    };

export type DecodedStoreMessage =
  { kind: 'message'; message: StoreMessageContent } | { kind: 'invalid'; reason: unknown };

/** Size of a message that networks do not split, in bytes. */
const MAX_MESSAGE_BYTES = 1_100;
/** Size of the sender's id and the other fields that stand once in a message, in bytes. */
const MESSAGE_OVERHEAD_BYTES = 100;
/** Size of the fields of one kind besides its changes, in bytes. */
const KIND_OVERHEAD_BYTES = 40;
/** Changes and messages in one answer; an instance that lacks more reads them from the store. */
const MAX_CHANGES_PER_MESSAGE = 64;
const MAX_MESSAGES = 8;
const BASE64_GROWTH = 4 / 3;

export function encodeStoreMessage(message: StoreMessageContent): Buffer {
  const { questionId, instanceId } = message;
  switch (message.kind) {
    case 'question': {
      const positions = message.positions.map(({ kind, revision, ageMs }) => [
        ...[kind, revision, encodeAge(ageMs)],
      ]);
      return encodeCbor(['question', [questionId, instanceId, positions]]);
    }
    case 'news': {
      return encodeCbor(['news', [questionId, instanceId, message.news.map(encodeKindNews)]]);
    }
  }
}

/** Decodes a datagram of a peer, which may hold any bytes. */
export function decodeStoreMessage(bytes: Buffer): DecodedStoreMessage {
  let message: unknown;
  try {
    message = decodeCbor(bytes);
  } catch (error) {
    return { kind: 'invalid', reason: String(error) };
  }
  if (!isValidStoreMessage(message)) return { kind: 'invalid', reason: isValidStoreMessage.errors };
  switch (message[0]) {
    case 'question': {
      const [questionId, instanceId, entries] = message[1];
      const positions = entries.map(([kind, revision, ageMs]) => ({
        ...{ kind, revision, ageMs: ageMs ?? undefined },
      }));
      return { kind: 'message', message: { kind: 'question', questionId, instanceId, positions } };
    }
    case 'news': {
      const [questionId, instanceId, encoded] = message[1];
      const news = encoded.map(([kind, fromRevision, toRevision, ageMs, changes]) => ({
        ...{ kind, fromRevision, toRevision, ageMs: ageMs ?? undefined },
        changes: changes?.map(decodeChange),
      }));
      return {
        kind: 'message',
        message: { kind: 'news', questionId, instanceId, news },
      };
    }
  }
}

/**
 * Splits news into the contents of messages that networks do not split. The changes of a kind keep their order, and the last
 * message of a kind alone says how recent they are. News that would need too many messages has no changes.
 */
export function splitNews(news: readonly KindNews[]): KindNews[][] {
  const messages: KindNews[][] = [];
  let remainingBytes = 0;
  for (const part of news.flatMap(splitKindNews)) {
    const bytes = measureKindNews(part);
    const last = messages.at(-1);
    if (last === undefined || bytes > remainingBytes) {
      messages.push([part]);
      remainingBytes = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES - bytes;
      continue;
    }
    last.push(part);
    remainingBytes -= bytes;
  }
  return messages;
}

function splitKindNews(news: KindNews): KindNews[] {
  const { changes, ageMs, toRevision } = news;
  if (changes === undefined) return [news];
  const parts: SharedChange[][] = [[]];
  let bytes = KIND_OVERHEAD_BYTES;
  for (const change of changes) {
    const size = measureEncoded(change);
    if (size > MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES - KIND_OVERHEAD_BYTES) {
      return [{ ...news, ageMs: undefined, changes: undefined }];
    }
    const isFull = bytes + size > MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
    if (isFull || parts.at(-1)?.length === MAX_CHANGES_PER_MESSAGE) {
      parts.push([]);
      bytes = KIND_OVERHEAD_BYTES;
    }
    parts.at(-1)?.push(change);
    bytes += size;
  }
  if (parts.length > MAX_MESSAGES) return [{ ...news, ageMs: undefined, changes: undefined }];
  let fromRevision = news.fromRevision;
  return parts.map((part, index) => {
    const isLast = index === parts.length - 1;
    const endRevision = isLast ? toRevision : (part.at(-1)?.position ?? fromRevision);
    const split = {
      ...{ kind: news.kind, fromRevision, toRevision: endRevision },
      ...{ ageMs: isLast ? ageMs : undefined, changes: part },
    };
    fromRevision = endRevision;
    return split;
  });
}

function measureKindNews({ changes = [] }: KindNews): number {
  return changes.reduce((sum, change) => sum + measureEncoded(change), KIND_OVERHEAD_BYTES);
}

function measureEncoded(change: SharedChange): number {
  const bytes = measureChange(change);
  return change.kind === 'patched' ? Math.ceil(bytes * BASE64_GROWTH) : bytes;
}

function encodeKindNews({ kind, fromRevision, toRevision, ageMs, changes }: KindNews) {
  return [
    ...[kind, fromRevision, toRevision, encodeAge(ageMs)],
    changes === undefined ? null : changes.map(encodeChange),
  ];
}

/** Rounds up, so that objects do not look more recent than they are. */
function encodeAge(ageMs: number | undefined): number | null {
  return ageMs === undefined ? null : Math.ceil(ageMs);
}

function encodeChange(change: SharedChange): StoreChange {
  const { name, position } = change;
  switch (change.kind) {
    case 'put':
      return ['put', name, position, change.revision, change.text];
    case 'patched': {
      const patch = Buffer.from(change.patch).toString('base64');
      return ['patched', name, position, change.revision, change.baseRevision, patch];
    }
    case 'deleted':
      return ['deleted', name, position];
  }
}

function decodeChange(change: StoreChange): SharedChange {
  switch (change[0]) {
    case 'put': {
      const [kind, name, position, revision, text] = change;
      return { kind, name, position, revision, text };
    }
    case 'patched': {
      const [kind, name, position, revision, baseRevision, patch] = change;
      return { kind, name, position, revision, baseRevision, patch: Buffer.from(patch, 'base64') };
    }
    case 'deleted':
      return { kind: 'deleted', name: change[1], position: change[2] };
  }
}
