import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import type {BodyError} from './body_error.js';
import {BodyBuffer} from './body_buffer.js';
import {isNestedDeeperThan} from './is_nested_deeper_than.js';

/** Deeper JSON could overflow the stack of recursive encoders downstream. */
const MAX_DEPTH = 64;
/** Limits the memory that many slow uploads can occupy in one process. */
const DEFAULT_MAX_TOTAL_BYTES = 256 * 1024 * 1024;
const RETRY_AFTER_MS = 1_000;

interface JsonBodyReaderOptions {
  /** Limit of the memory of all bodies being read. Default 256 MiB. */
  readonly maxTotalBytes?: number;
}

interface Upload {
  readonly buffer: BodyBuffer;
  readonly finish: (result: Result<Buffer, BodyError>) => void;
}

/** Reads JSON bodies within limits; invalid bodies are returned as errors. */
export class JsonBodyReader {
  private occupiedBytes = 0;
  /** Bodies being read, the oldest first. */
  private readonly uploads = new Set<Upload>();
  private readonly maxTotalBytes: number;

  constructor(opts: JsonBodyReaderOptions = {}) {
    this.maxTotalBytes = opts.maxTotalBytes ?? DEFAULT_MAX_TOTAL_BYTES;
  }

  /**
   * Reads the body of `req`. After an error the rest of the body is discarded,
   * so that the client can still read the response.
   */
  async read(
    req: IncomingMessage,
    maxBytes: number,
  ): Promise<Result<unknown, BodyError>> {
    if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
      // The rest is discarded until the request times out.
      req.on('error', () => undefined).resume();
      return Result.err(tooLarge(maxBytes));
    }
    const bytes = await this.collect(req, maxBytes);
    return bytes.isErr ? Result.err(bytes.error) : parseJson(bytes.value);
  }

  private collect(
    req: IncomingMessage,
    maxBytes: number,
  ): Promise<Result<Buffer, BodyError>> {
    return new Promise(resolve => {
      const buffer = new BodyBuffer(maxBytes);
      const finish = (result: Result<Buffer, BodyError>) => {
        if (!this.uploads.delete(upload)) return;
        this.occupiedBytes -= buffer.occupiedBytes;
        req.off('data', onData).off('end', onEnd).off('close', onClose);
        req.resume();
        resolve(result);
      };
      const upload = {buffer, finish};
      this.uploads.add(upload);
      const onData = (chunk: Buffer) => {
        const before = buffer.occupiedBytes;
        const fits = buffer.append(chunk);
        this.occupiedBytes += buffer.occupiedBytes - before;
        if (!fits) finish(Result.err(tooLarge(maxBytes)));
        this.refuseOldest();
      };
      const onEnd = () => finish(Result.ok(buffer.content));
      const onClose = () => finish(Result.err(BODY_TRUNCATED));
      // An aborted upload emits an error before its close event.
      req.on('error', () => undefined);
      req.on('data', onData).on('end', onEnd).on('close', onClose);
      if (req.destroyed) onClose();
    });
  }

  /**
   * Refuses the uploads that have lasted longest while all exceed the limit: those of
   * ordinary clients are complete within moments.
   */
  private refuseOldest(): void {
    for (const upload of this.uploads) {
      if (this.occupiedBytes <= this.maxTotalBytes) return;
      upload.finish(Result.err(TOO_MANY_BODIES));
    }
  }
}

const BODY_TRUNCATED: BodyError = {
  status: 400,
  detail: 'the connection closed before the body was complete',
};
const TOO_MANY_BODIES: BodyError = {
  status: 503,
  detail: 'too many request bodies are being read at once',
  retryAfterMs: RETRY_AFTER_MS,
};

function tooLarge(maxBytes: number): BodyError {
  return {status: 413, detail: `the body exceeds ${maxBytes} bytes`};
}

function parseJson(bytes: Buffer): Result<unknown, BodyError> {
  if (isNestedDeeperThan(bytes, MAX_DEPTH)) {
    const detail = `the body is nested deeper than ${MAX_DEPTH} levels`;
    return Result.err({status: 400, detail});
  }
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(bytes);
    return Result.ok(JSON.parse(text));
  } catch {
    return Result.err({
      status: 400,
      detail: 'the body is not valid JSON in UTF-8',
    });
  }
}
