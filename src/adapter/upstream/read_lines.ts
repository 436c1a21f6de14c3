import type {Readable} from 'node:stream';
import {StringDecoder} from 'node:string_decoder';

/**
 * The lines of a body, without empty ones; throws on a longer line than
 * `maxLength` characters. A last line without its end is incomplete and left
 * out.
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
      throw new Error(`a line is longer than ${maxLength} characters`);
    }
    for (const line of lines) if (line.trim() !== '') yield line;
  }
}
