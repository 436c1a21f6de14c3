import {Encoder} from 'cbor-x';
import crc32 from 'crc-32';
import {Result} from 'true-myth';
import * as v from 'valibot';

/** "pyk1" marks the start of a frame. */
const MAGIC = 0x70796b31;
/** Magic, payload length, payload checksum, checksum of the first three. */
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
  /** Whether an incomplete last frame was left out. */
  readonly isTorn: boolean;
}

const cbor = new Encoder({useRecords: false, mapsAsObjects: true});

/**
 * A file of checksummed frames. The first frame names the format, the kind of
 * file and the storage id. Each later one is the unit of one append and sync,
 * so a crash can damage the last frame only.
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
   * Reads a file. A damaged last frame is left out; a damaged frame with a
   * valid one after it, or a damaged or unknown header, is an error.
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
        `${file}: corrupt data at byte ${at}, with valid records after it; ` +
          'restore the disk, or empty the data folder to rejoin as a learner',
      );
    }
    const header = v.safeParse(FileHeader, payloads[0]);
    if (!header.success) {
      return Result.err(`${file}: the header of the file is corrupt`);
    }
    if (header.output.format !== FORMAT || header.output.kind !== kind) {
      return Result.err(
        `${file}: format ${header.output.format} of "${header.output.kind}"; ` +
          `this version reads format ${FORMAT} of "${kind}"`,
      );
    }
    const {storage} = header.output;
    return Result.ok({storage, payloads: payloads.slice(1), isTorn});
  }
}

/** Bytes of the valid frame at `at`; undefined if there is none. */
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
