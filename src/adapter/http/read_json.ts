import type {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';

interface BodyError {
  readonly status: 400 | 408 | 413;
  readonly detail: string;
}

/** Reads a JSON body of at most `maxBytes`; every bad body is an error value. */
export async function readJson(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown, BodyError>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        const detail = `the body is over ${maxBytes} bytes`;
        return Result.err({status: 413, detail});
      }
      chunks.push(chunk);
    }
  } catch {
    return Result.err({status: 400, detail: 'the body ended early'});
  }
  try {
    return Result.ok(JSON.parse(Buffer.concat(chunks).toString('utf8')));
  } catch {
    return Result.err({status: 400, detail: 'the body is not JSON'});
  }
}
