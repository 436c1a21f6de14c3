import type {Readable} from 'node:stream';
import {StringDecoder} from 'node:string_decoder';

/**
 * Yields the non-empty lines of a body. A last line without a line terminator
 * may be incomplete and is skipped. Throws if a line exceeds `maxLength`
 * characters.
 */
export async function* readLines(
  body: Readable,
  maxLength: number,
): AsyncGenerator<string> {
  const decoder = new StringDecoder('utf8');
  let partialLine = '';
  for await (const chunk of body as AsyncIterable<Buffer>) {
    const lines = (partialLine + decoder.write(chunk)).split('\n');
    partialLine = lines.pop() ?? '';
    if (partialLine.length > maxLength) {
      throw new Error(`line exceeds the maximum of ${maxLength} characters`);
    }
    for (const line of lines) if (line.trim() !== '') yield line;
  }
}
