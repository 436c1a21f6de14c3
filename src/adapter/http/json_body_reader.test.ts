import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {assert} from 'chai';
import {BodyBuffer} from './body_buffer.js';
import {JsonBodyReader} from './json_body_reader.js';

const MAX_BYTES = 64 * 1_024;

function createRequest(): PassThrough & IncomingMessage {
  return Object.assign(new PassThrough(), {headers: {}}) as never;
}

// A client that sends byte by byte must not occupy more than its body.
test('a body in tiny chunks occupies little more than its size', () => {
  const buffer = new BodyBuffer(MAX_BYTES);
  for (let n = 0; n < 50_000; n += 1) buffer.append(Buffer.from('x'));
  assert.isBelow(buffer.occupiedBytes, MAX_BYTES + 16 * 1_024);
  assert.equal(buffer.content.toString(), 'x'.repeat(50_000));
});

// Uploads that never end would keep all later requests from being read.
test('the oldest uploads are refused while all exceed the limit', async () => {
  const reader = new JsonBodyReader({maxTotalBytes: 2 * MAX_BYTES});
  const stalled = [1, 2, 3].map(() => {
    const req = createRequest();
    req.write(' '.repeat(MAX_BYTES - 1));
    return reader.read(req, MAX_BYTES);
  });
  const first = await stalled[0]!;
  assert.deepInclude(first.isErr ? first.error : {}, {status: 503});
  const ordinary = createRequest();
  ordinary.end('{"a": 1}');
  const body = await reader.read(ordinary, MAX_BYTES);
  assert.deepEqual(body.unwrapOr(undefined), {a: 1});
});
