import {Encoder} from 'cbor-x';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {PeerFrame} from './peer_frame.js';

/** A frame starts with its body's length as a big-endian 32-bit number. */
const HEADER_BYTES = 4;
/** Holds a snapshot of a zone's jobs; larger lengths mean a broken stream. */
const MAX_BODY_BYTES = 256 * 1024 * 1024;

const cbor = new Encoder({useRecords: false, mapsAsObjects: true});

/** Cuts the bytes of one connection into frames. */
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

  /** Adds received bytes; returns the frames that are now whole. */
  push(chunk: Buffer): Result<PeerFrame[], string> {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    const frames: PeerFrame[] = [];
    for (;;) {
      const length = this.nextBodyLength();
      if (length === undefined) return Result.ok(frames);
      if (length > MAX_BODY_BYTES) {
        return Result.err(`a frame of ${length} bytes is too large`);
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
    return Result.err(`a frame is not CBOR: ${String(err)}`);
  }
  const parsed = v.safeParse(PeerFrame, body);
  return parsed.success
    ? Result.ok(parsed.output)
    : Result.err('a frame has no known form');
}
