import { decodeCbor, encodeCbor, isValidStoreMessage } from '@pollendrum/protocol';
import type {
  StoreChange,
  StoreKindNews,
  StorePosition as PositionEntry,
} from '@pollendrum/protocol';
import { measureChange } from './change-log';
import type { SharedChange } from './change-log';
import type { StoreEra } from './object-store';
import { compareStorePositions } from './store-position';
import type { StorePosition } from './store-position';

/** Changes of one kind of object as an instance tells them to another one. */
export interface KindNews {
  kind: string;
  /** Moment after which the changes begin, and up to which they are complete. All changes are of the era of `to`. */
  from: StorePosition;
  to: StorePosition;
  /**
   * Time since the sender's objects were known to be complete, in milliseconds; undefined if they are not, or if more changes
   * follow.
   */
  ageMs: number | undefined;
  /** Undefined if the sender does not have the changes. */
  changes: readonly SharedChange[] | undefined;
  /** Set if the changes are a part of those of one moment, which can only be taken in together. */
  part?: NewsPart;
}

/** Number of a part, from 0 on, and the number of all parts. */
export interface NewsPart {
  index: number;
  count: number;
}

/** What an instance knows of a kind of object. */
export interface KindPosition {
  kind: string;
  /** Moment of the store up to which it knows all changes. */
  position: StorePosition;
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
const MAX_MESSAGES = 24;
/**
 * Messages for the changes of one moment, such as the differences of a listing after the store has returned from a backup; they
 * hold those of 300 servers. Each instance would list the objects otherwise.
 */
const MAX_PARTS = 32;
const BASE64_GROWTH = 4 / 3;

export function encodeStoreMessage(message: StoreMessageContent): Buffer {
  const { questionId, instanceId } = message;
  switch (message.kind) {
    case 'question': {
      const positions = message.positions.map(encodePosition);
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
      const positions = entries.map(decodePosition);
      return { kind: 'message', message: { kind: 'question', questionId, instanceId, positions } };
    }
    case 'news': {
      const [questionId, instanceId, encoded] = message[1];
      const news = encoded.map(decodeKindNews);
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
  const { changes, ageMs, to } = news;
  if (changes === undefined) return [news];
  const withheld = [{ ...news, ageMs: undefined, changes: undefined }];
  const parts = splitChanges(changes);
  if (parts === undefined) return withheld;
  const ordinary = parts.filter(({ part }) => part === undefined);
  if (ordinary.length > MAX_MESSAGES || parts.length > MAX_PARTS) return withheld;
  let { from } = news;
  return parts.map(({ changes: split, part }, index) => {
    const isLast = index === parts.length - 1;
    // All parts of a moment have the same end, by which the receiver knows that they belong together.
    const endIndex = part === undefined ? index : index - part.index + part.count - 1;
    const end = endIndex === parts.length - 1 ? to : (split.at(-1)?.position ?? from);
    const ages = { ageMs: isLast ? ageMs : undefined };
    const result = { kind: news.kind, from, to: end, ...ages, changes: split };
    const isContinued = part !== undefined && part.index < part.count - 1;
    if (!isContinued) from = end;
    return part === undefined ? result : { ...result, part };
  });
}

interface ChangesPart {
  changes: SharedChange[];
  part: NewsPart | undefined;
}

/** Splits changes so that those of one moment stay together or are numbered; undefined if one does not fit into a message. */
function splitChanges(changes: readonly SharedChange[]): ChangesPart[] | undefined {
  const parts: ChangesPart[] = [{ changes: [], part: undefined }];
  for (const moment of splitByPosition(changes)) {
    const last = parts.at(-1);
    if (
      last?.part === undefined &&
      last !== undefined &&
      isWithinLimits([...last.changes, ...moment])
    ) {
      last.changes.push(...moment);
      continue;
    }
    const pieces = splitMoment(moment);
    if (pieces === undefined) return undefined;
    const count = pieces.length;
    const isSplit = count > 1;
    const numbered = pieces.map((piece, index) => ({
      ...{ changes: piece, part: isSplit ? { index, count } : undefined },
    }));
    if (last?.changes.length === 0) parts.pop();
    parts.push(...numbered);
  }
  return parts;
}

function splitMoment(changes: readonly SharedChange[]): SharedChange[][] | undefined {
  const pieces: SharedChange[][] = [[]];
  for (const change of changes) {
    if (!isWithinLimits([change])) return undefined;
    const last = pieces.at(-1);
    if (last !== undefined && isWithinLimits([...last, change])) last.push(change);
    else pieces.push([change]);
  }
  return pieces;
}

function splitByPosition(changes: readonly SharedChange[]): SharedChange[][] {
  const groups: SharedChange[][] = [];
  for (const change of changes) {
    const last = groups.at(-1);
    const [first] = last ?? [];
    if (first !== undefined && compareStorePositions(first.position, change.position) === 0) {
      last?.push(change);
    } else groups.push([change]);
  }
  return groups;
}

/** Whether changes fit into one message. */
function isWithinLimits(changes: readonly SharedChange[]): boolean {
  if (changes.length > MAX_CHANGES_PER_MESSAGE) return false;
  const bytes = changes.reduce((sum, change) => sum + measureEncoded(change), 0);
  return bytes + KIND_OVERHEAD_BYTES <= MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
}

function measureKindNews({ changes = [] }: KindNews): number {
  return changes.reduce((sum, change) => sum + measureEncoded(change), KIND_OVERHEAD_BYTES);
}

function measureEncoded(change: SharedChange): number {
  const bytes = measureChange(change);
  return change.kind === 'patched' ? Math.ceil(bytes * BASE64_GROWTH) : bytes;
}

/** Leaves out an era of 0, which instances of the version before eras do not know. */
function encodePosition({ kind, position, ageMs }: KindPosition): PositionEntry {
  const { era, revision } = position;
  const age = encodeAge(ageMs);
  return era === 0 ? [kind, revision, age] : [kind, revision, age, era];
}

function decodePosition([kind, revision, ageMs, era = 0]: PositionEntry): KindPosition {
  return { kind, position: { era, revision }, ageMs: ageMs ?? undefined };
}

function encodeKindNews({ kind, from, to, ageMs, changes, part }: KindNews): StoreKindNews {
  const encoded = changes === undefined ? null : changes.map(encodeChange);
  const age = encodeAge(ageMs);
  const { index, count } = part ?? { index: 0, count: 1 };
  if (from.era === 0 && to.era === 0 && count === 1) {
    return [kind, from.revision, to.revision, age, encoded];
  }
  const extent: [number, number, number, number] = [from.era, to.era, index, count];
  return [kind, from.revision, to.revision, age, encoded, extent];
}

function decodeKindNews(entry: StoreKindNews): KindNews {
  const [kind, fromRevision, toRevision, ageMs, changes, extent] = entry;
  const [fromEra, era, index, count] = extent ?? [0, 0, 0, 1];
  return {
    ...{ kind, from: { era: fromEra, revision: fromRevision }, to: { era, revision: toRevision } },
    ageMs: ageMs ?? undefined,
    changes: changes?.map((change) => decodeChange(change, era)),
    ...(count > 1 ? { part: { index, count } } : {}),
  };
}

/** Rounds up, so that objects do not look more recent than they are. */
function encodeAge(ageMs: number | undefined): number | null {
  return ageMs === undefined ? null : Math.ceil(ageMs);
}

function encodeChange(change: SharedChange): StoreChange {
  const { name } = change;
  const position = change.position.revision;
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

function decodeChange(change: StoreChange, era: StoreEra): SharedChange {
  const position = { era, revision: change[2] };
  switch (change[0]) {
    case 'put': {
      const [kind, name, , revision, text] = change;
      return { kind, name, position, revision, text };
    }
    case 'patched': {
      const [kind, name, , revision, baseRevision, patch] = change;
      return { kind, name, position, revision, baseRevision, patch: Buffer.from(patch, 'base64') };
    }
    case 'deleted':
      return { kind: 'deleted', name: change[1], position };
  }
}
