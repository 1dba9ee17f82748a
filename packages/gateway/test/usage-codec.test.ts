import type { ToldWindow } from '@pollendrum/policy';
import { encodeCbor } from '@pollendrum/protocol';
import { describe, expect, it } from 'vitest';
import {
  decodeUsageDatagram,
  encodeUsageDatagram,
  takeDatagramPart,
} from '../src/duties/usage-codec';
import type { UsageDatagram } from '../src/duties/usage-codec';

const HEAD = { instanceId: 'one', incarnation: 'x', sequence: 4, unixMs: 1_700_000_000_000.5 };
const WINDOW: ToldWindow = { windowId: 340_000_000, isClosed: true, total: 3, counts: [['a', 3]] };
const MAX_DATAGRAM_BYTES = 1_300;

describe('datagrams about usage', () => {
  it.each<[string, UsageDatagram]>([
    [
      'counts',
      {
        ...HEAD,
        holder: undefined,
        content: { kind: 'counts', firstWindowId: 3, windows: [WINDOW] },
      },
    ],
    [
      'acknowledgements',
      {
        ...HEAD,
        holder: { ownerId: 'two', token: 2_000_000_001 },
        content: { kind: 'ack', ackedIncarnation: 'y' },
      },
    ],
  ])('keep %s', (_, datagram) => {
    const bytes = encodeUsageDatagram(datagram);
    // The first byte tells the kind of a datagram.
    expect(bytes[0]).toBe(0x87);
    expect(decodeUsageDatagram(bytes)).toEqual({ kind: 'datagram', datagram });
  });

  it.each<[string, Buffer]>([
    ['bytes that are no CBOR', Buffer.from([0x87, 0xff])],
    ['another kind', encodeCbor(['other', 'one', 'x', 4, 5, null, ['y']])],
    [
      'a negative count',
      encodeCbor(['counts', 'one', 'x', 4, 5, null, [3, [[7, true, 3, [['a', -3]]]]]]),
    ],
    ['a huge window', encodeCbor(['counts', 'one', 'x', 4, 5, null, [3, [[1e300, true, 3, []]]]])],
    ['a time that is a text', encodeCbor(['ack', 'one', 'x', 4, '5', null, ['y']])],
  ])('are refused with %s', (_, bytes) => {
    expect(decodeUsageDatagram(bytes).kind).toBe('invalid');
  });

  it('hold a part of many counts, the oldest first, and all after a few', () => {
    const counts = Array.from({ length: 150 }, (_, index): [string, number] => [
      `team-${index}`,
      9,
    ]);
    const windows = [
      { ...WINDOW, counts },
      { ...WINDOW, windowId: WINDOW.windowId + 1 },
    ];
    const part = takeDatagramPart(windows);
    expect(part[0]?.counts.length).toBeGreaterThan(40);
    expect(part[0]?.counts.length).toBeLessThan(150);
    const content = { kind: 'counts', firstWindowId: 3, windows: part } as const;
    const bytes = encodeUsageDatagram({ ...HEAD, holder: undefined, content });
    expect(bytes.length).toBeLessThan(MAX_DATAGRAM_BYTES);
    expect(takeDatagramPart(windows.slice(1))).toEqual(windows.slice(1));
  });
});
