import {assert} from 'chai';
import {FakeClock} from '../../../test-support/fakes/fake_clock.js';
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

// Guards against a system call for each line: a busy core process logs hundreds a
// second.
test('lines within the delay share one write', () => {
  const clock = new FakeClock();
  const batches: string[] = [];
  const writer = new BoundedWriter(
    (text, done) => {
      batches.push(text);
      done();
    },
    1_000,
    {clock, delayMs: 20},
  );
  writer.write('a\n');
  clock.advance(10);
  writer.write('b\n');
  assert.isEmpty(batches);
  clock.advance(10);
  assert.deepEqual(batches, ['a\nb\n']);
  clock.advance(100);
  writer.write('c\n');
  clock.advance(20);
  assert.deepEqual(batches, ['a\nb\n', 'c\n']);
});

test('lines written during a write follow after the delay', () => {
  const clock = new FakeClock();
  const batches: string[] = [];
  const pending: Array<() => void> = [];
  const writer = new BoundedWriter(
    (text, done) => {
      batches.push(text);
      pending.push(done);
    },
    1_000,
    {clock, delayMs: 20},
  );
  writer.write('a\n');
  clock.advance(20);
  writer.write('b\n');
  clock.advance(40);
  assert.lengthOf(batches, 1);
  pending.shift()!();
  clock.advance(20);
  assert.deepEqual(batches, ['a\n', 'b\n']);
});

// Guards against the loss of the last lines before an exit, and against lines that
// overtake those of a write in progress.
test('lines that wait are taken at exit unless a write is in progress', () => {
  const clock = new FakeClock();
  const pending: Array<() => void> = [];
  const writer = new BoundedWriter(
    (_text, done) => void pending.push(done),
    1_000,
    {clock, delayMs: 20},
  );
  writer.write('a\n');
  assert.equal(writer.takeRest(), 'a\n');
  clock.advance(20);
  assert.isEmpty(pending);
  writer.write('b\n');
  clock.advance(20);
  writer.write('c\n');
  assert.equal(writer.takeRest(), '');
});
