import {assert} from 'chai';
import {BoundedWriter} from './bounded_writer.js';

// Guards against a stalled log reader that blocks the process or lets the queue
// grow without limit.
test('a stalled reader does not block, and excess lines are dropped and counted', () => {
  const batches: string[] = [];
  const pending: Array<() => void> = [];
  const writer = new BoundedWriter((text, done) => {
    batches.push(text);
    pending.push(done);
  }, 100);
  for (let n = 0; n < 50; n += 1) writer.write('0123456789\n');
  assert.lengthOf(batches, 1);
  // One line is being written, nine are queued.
  assert.equal(writer.droppedLines, 40);
  pending.shift()!();
  const lines = batches[1]!.trim().split('\n');
  assert.lengthOf(lines, 10);
  assert.deepInclude(JSON.parse(lines[9]!) as object, {
    message: 'log_dropped',
    lines: 40,
  });
});

test('lines keep their order across batches', () => {
  const batches: string[] = [];
  const pending: Array<() => void> = [];
  const writer = new BoundedWriter((text, done) => {
    batches.push(text);
    pending.push(done);
  });
  for (const line of ['a\n', 'b\n', 'c\n']) writer.write(line);
  pending.shift()!();
  writer.write('d\n');
  pending.shift()!();
  assert.equal(batches.join(''), 'a\nb\nc\nd\n');
});

test('the queue is limited in bytes, not in characters', () => {
  const writer = new BoundedWriter(() => undefined, 100);
  for (let n = 0; n < 11; n += 1) writer.write('ажжжжжжжж\n');
  // One line is being written; of the others, 19 bytes each, five fit.
  assert.equal(writer.droppedLines, 5);
});
