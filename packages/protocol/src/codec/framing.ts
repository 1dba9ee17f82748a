import { Decoder, Encoder } from 'cbor-x';

/** Maximum size of the payload of a frame in bytes. */
export const MAX_PAYLOAD_BYTES = 1_048_576;

const LENGTH_PREFIX_BYTES = 4;
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
  if (payload.length > MAX_PAYLOAD_BYTES) {
    throw new FramingError(
      `message of ${payload.length} bytes is over the limit of ${MAX_PAYLOAD_BYTES}`,
    );
  }
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_PREFIX_BYTES);
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
    if (this.#bufferedBytes < LENGTH_PREFIX_BYTES) return [];
    let buffer = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks);
    const messages: unknown[] = [];
    while (buffer.length >= LENGTH_PREFIX_BYTES) {
      const length = buffer.readUInt32BE(0);
      if (length > MAX_PAYLOAD_BYTES)
        throw new FramingError(`frame of ${length} bytes is over the limit`);
      if (buffer.length < LENGTH_PREFIX_BYTES + length) break;
      messages.push(decodeCbor(buffer.subarray(LENGTH_PREFIX_BYTES, LENGTH_PREFIX_BYTES + length)));
      buffer = buffer.subarray(LENGTH_PREFIX_BYTES + length);
    }
    this.#chunks = buffer.length > 0 ? [buffer] : [];
    this.#bufferedBytes = buffer.length;
    return messages;
  }
}
