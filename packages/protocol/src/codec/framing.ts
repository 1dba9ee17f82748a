import { Decoder, Encoder } from 'cbor-x';

/** Maximum payload of a frame in bytes. */
export const MAX_FRAME_BYTES = 1_048_576;

const HEADER_BYTES = 4;
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/**
 * Thrown when a message is too large to encode, or when received bytes are not a valid frame or
 * valid CBOR. A connection that received an invalid frame cannot be used further.
 */
export class FramingError extends Error {
  override readonly name = 'FramingError';
}

/**
 * Encodes a message as a 4-byte big-endian length and a CBOR payload.
 * @throws FramingError when the payload is larger than MAX_FRAME_BYTES.
 */
export function encodeFrame(message: unknown): Buffer {
  const payload = encoder.encode(message);
  if (payload.length > MAX_FRAME_BYTES) {
    throw new FramingError(
      `message of ${payload.length} bytes is over the limit of ${MAX_FRAME_BYTES}`,
    );
  }
  const frame = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, HEADER_BYTES);
  return frame;
}

/** Encodes a message as CBOR without a length prefix, for datagrams. */
export function encodeCbor(message: unknown): Buffer {
  return encoder.encode(message);
}

/**
 * Decodes CBOR without a length prefix.
 * @throws FramingError when the bytes are not valid CBOR.
 */
export function decodeCbor(bytes: Uint8Array): unknown {
  try {
    return decoder.decode(bytes);
  } catch (error) {
    throw new FramingError(`invalid CBOR: ${String(error)}`);
  }
}

/** Splits the byte stream of one connection into messages. */
export class FrameReader {
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  /**
   * Buffers a chunk of the stream and returns the messages that are complete with it.
   * @throws FramingError on an oversized or malformed frame.
   */
  readMessages(chunk: Buffer): unknown[] {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes < HEADER_BYTES) return [];
    let buffer = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    const messages: unknown[] = [];
    while (buffer.length >= HEADER_BYTES) {
      const length = buffer.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES)
        throw new FramingError(`frame of ${length} bytes is over the limit`);
      if (buffer.length < HEADER_BYTES + length) break;
      messages.push(decodeCbor(buffer.subarray(HEADER_BYTES, HEADER_BYTES + length)));
      buffer = buffer.subarray(HEADER_BYTES + length);
    }
    this.#chunks = buffer.length > 0 ? [buffer] : [];
    this.#bufferedBytes = buffer.length;
    return messages;
  }
}
