import { describe, expect, test } from 'vitest';
import { encodeFrame, FrameReader, FramingError, MAX_FRAME_BYTES } from '../src/index';

describe('frames', () => {
  // Guards against losing or merging messages when TCP splits the stream at an arbitrary byte.
  test.each([1, 2, 3, 4, 5, 7, 64])('are decoded from a stream split every %i bytes', (size) => {
    const messages = [
      { kind: 'ping', sequence: 1 },
      { kind: 'moved', attemptId: 'a'.repeat(200) },
    ];
    const bytes = Buffer.concat(messages.map(encodeFrame));
    const reader = new FrameReader();
    const received: unknown[] = [];
    for (let offset = 0; offset < bytes.length; offset += size) {
      received.push(...reader.readMessages(bytes.subarray(offset, offset + size)));
    }
    expect(received).toEqual(messages);
  });

  // Guards against unbounded buffering when a peer sends the header of an oversized frame.
  test('over the size limit are rejected by encoder and decoder', () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(MAX_FRAME_BYTES + 1);
    expect(() => new FrameReader().readMessages(header)).toThrow(FramingError);
    expect(() => encodeFrame('x'.repeat(MAX_FRAME_BYTES + 1))).toThrow(FramingError);
  });
});
