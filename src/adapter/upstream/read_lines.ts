import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';

/** The JSON values of a body of newline-separated JSON. */
export async function* readLines(body: Readable): AsyncGenerator<unknown> {
  for await (const line of createInterface({input: body})) {
    if (line !== '') yield JSON.parse(line) as unknown;
  }
}
