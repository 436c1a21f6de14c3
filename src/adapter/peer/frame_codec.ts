import {Encoder} from 'cbor-x';
import {Result} from 'true-myth';
import {isPeerFrame} from './is_peer_frame.js';
import type {PeerFrame} from './peer_frame.js';

/** Length of the body as a big-endian unsigned 32-bit integer. */
const HEADER_BYTES = 4;
/**
 * Large enough for a snapshot of the jobs of a zone; a larger length indicates
 * a corrupt stream.
 */
const MAX_BODY_BYTES = 256 * 1024 * 1024;

const cbor = new Encoder({useRecords: false, mapsAsObjects: true});

/** Encodes frames and decodes the byte stream of one connection. */
export class FrameCodec {
  private chunks: Buffer[] = [];
  private buffered = 0;

  static encode(frame: PeerFrame): Buffer {
    const body = cbor.encode(frame);
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    bytes.writeUInt32BE(body.length, 0);
    body.copy(bytes, HEADER_BYTES);
    return bytes;
  }

  /** Adds received bytes and returns the frames that are now complete. */
  push(chunk: Buffer): Result<PeerFrame[], string> {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    const frames: PeerFrame[] = [];
    for (;;) {
      const length = this.nextBodyLength();
      if (length === undefined) return Result.ok(frames);
      if (length > MAX_BODY_BYTES) {
        return Result.err(
          `frame of ${length} bytes exceeds the maximum of ${MAX_BODY_BYTES}`,
        );
      }
      if (this.buffered < HEADER_BYTES + length) return Result.ok(frames);
      const frame = decode(this.consume(HEADER_BYTES + length));
      if (frame.isErr) return Result.err(frame.error);
      frames.push(frame.value);
    }
  }

  private nextBodyLength(): number | undefined {
    if (this.buffered < HEADER_BYTES) return undefined;
    if (this.chunks[0]!.length < HEADER_BYTES) this.mergeChunks();
    return this.chunks[0]!.readUInt32BE(0);
  }

  private consume(length: number): Buffer {
    if (this.chunks[0]!.length < length) this.mergeChunks();
    const first = this.chunks[0]!;
    const consumed = first.subarray(0, length);
    const rest = first.subarray(length);
    if (rest.length > 0) this.chunks[0] = rest;
    else this.chunks.shift();
    this.buffered -= length;
    return consumed;
  }

  private mergeChunks(): void {
    this.chunks = [Buffer.concat(this.chunks)];
  }
}

function decode(bytes: Buffer): Result<PeerFrame, string> {
  let body: unknown;
  try {
    body = cbor.decode(bytes.subarray(HEADER_BYTES));
  } catch (err) {
    return Result.err(`invalid CBOR in frame: ${String(err)}`);
  }
  return isPeerFrame(body)
    ? Result.ok(body)
    : Result.err('frame does not match the schema');
}
