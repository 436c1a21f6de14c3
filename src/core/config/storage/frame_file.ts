import {Encoder} from 'cbor-x';
import crc32 from 'crc-32';
import {Result} from 'true-myth';
import * as v from 'valibot';

/** "pyk1" in ASCII; marks the start of a frame. */
const MAGIC = 0x70796b31;
/**
 * Magic, payload length, payload CRC-32 and CRC-32 of these three; 4 B each.
 */
const HEADER_BYTES = 16;
const FORMAT = 1;

const FileHeader = v.object({
  format: v.number(),
  kind: v.string(),
  storage: v.string(),
});

interface FrameFileContent {
  /** Storage id from the file's header. */
  readonly storage: string;
  readonly payloads: unknown[];
  /** Whether an incomplete last frame was skipped. */
  readonly isTorn: boolean;
}

const cbor = new Encoder({useRecords: false, mapsAsObjects: true});

/**
 * A file of checksummed CBOR frames. The first frame is the header with format
 * version, file kind and storage id. Each later frame is written by one append
 * and sync, so a crash can damage only the last one.
 */
export class FrameFile {
  static readonly FORMAT = FORMAT;

  static header(kind: string, storage: string): Uint8Array {
    return FrameFile.frame({format: FORMAT, kind, storage});
  }

  static frame(payload: unknown): Uint8Array {
    const body = cbor.encode(payload);
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    bytes.writeUInt32BE(MAGIC, 0);
    bytes.writeUInt32BE(body.length, 4);
    bytes.writeUInt32BE(crc32.buf(body) >>> 0, 8);
    bytes.writeUInt32BE(crc32.buf(bytes.subarray(0, 12)) >>> 0, 12);
    body.copy(bytes, HEADER_BYTES);
    return bytes;
  }

  /**
   * Parses the content of a file. Skips a damaged last frame. Fails if a valid
   * frame follows a damaged one, or if the header is damaged or unknown.
   */
  static parse(
    file: string,
    kind: string,
    content: Uint8Array,
  ): Result<FrameFileContent, string> {
    const bytes = Buffer.from(content);
    const payloads: unknown[] = [];
    let at = 0;
    while (at < bytes.length) {
      const length = frameLength(bytes, at);
      if (length === undefined) break;
      payloads.push(
        cbor.decode(bytes.subarray(at + HEADER_BYTES, at + length)),
      );
      at += length;
    }
    const isTorn = at < bytes.length;
    if (isTorn && hasFrameAfter(bytes, at + 1)) {
      return Result.err(
        `${file}: corrupt data at byte ${at}, followed by valid records; ` +
          'restore the disk, or empty the data folder to rejoin as a learner',
      );
    }
    const header = v.safeParse(FileHeader, payloads[0]);
    if (!header.success) {
      return Result.err(`${file}: the file header is missing or corrupt`);
    }
    if (header.output.format !== FORMAT || header.output.kind !== kind) {
      return Result.err(
        `${file}: format ${header.output.format} of "${header.output.kind}" ` +
          `is not supported; this version reads format ${FORMAT} of "${kind}"`,
      );
    }
    const {storage} = header.output;
    return Result.ok({storage, payloads: payloads.slice(1), isTorn});
  }
}

/** Length of the valid frame at offset `at`, in bytes; undefined if none. */
function frameLength(bytes: Buffer, at: number): number | undefined {
  if (at + HEADER_BYTES > bytes.length) return undefined;
  if (bytes.readUInt32BE(at) !== MAGIC) return undefined;
  const header = bytes.subarray(at, at + 12);
  if (crc32.buf(header) >>> 0 !== bytes.readUInt32BE(at + 12)) return undefined;
  const end = at + HEADER_BYTES + bytes.readUInt32BE(at + 4);
  if (end > bytes.length) return undefined;
  const body = bytes.subarray(at + HEADER_BYTES, end);
  if (crc32.buf(body) >>> 0 !== bytes.readUInt32BE(at + 8)) return undefined;
  return end - at;
}

function hasFrameAfter(bytes: Buffer, from: number): boolean {
  for (let at = from; at + HEADER_BYTES <= bytes.length; at += 1) {
    if (frameLength(bytes, at) !== undefined) return true;
  }
  return false;
}
