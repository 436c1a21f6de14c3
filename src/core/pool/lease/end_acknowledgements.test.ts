import {assert} from 'chai';
import {EndAcknowledgements} from './end_acknowledgements.js';

function createBench() {
  const bench = {recordedUntil: 0};
  const acks = new EndAcknowledgements(() => bench.recordedUntil);
  return {bench, acks};
}

// Guards against a successor that finds no trace of a run and takes its job for
// one that has not started.
test('an end stays on the list of its worker until it is recorded', () => {
  const {bench, acks} = createBench();
  acks.receive(1, 10);
  acks.receive(2, 20);
  assert.equal(acks.take(30), 0);
  bench.recordedUntil = 20;
  assert.equal(acks.take(30), 1);
  bench.recordedUntil = 21;
  assert.equal(acks.take(30), 2);
  assert.isFalse(acks.isHolding);
});

// Workers list 500 ends at a time; unacknowledged ones would fill the list.
test('an end that nobody records is acknowledged after 1 s', () => {
  const {acks} = createBench();
  acks.receive(1, 10);
  assert.equal(acks.take(1_009), 0);
  assert.equal(acks.take(1_010), 1);
});

// A worker replies at once while an end is unacknowledged. Polls without a pause
// took twice the processor time of the leader.
test('polls pause while an end waits for its record', () => {
  const {bench, acks} = createBench();
  assert.isTrue(acks.mayPoll(0));
  acks.receive(1, 10);
  assert.isFalse(acks.mayPoll(69));
  assert.isTrue(acks.mayPoll(70));
  acks.take(70);
  assert.isFalse(acks.mayPoll(129));
  assert.isTrue(acks.mayPoll(130));
  acks.receive(2, 131);
  bench.recordedUntil = 11;
  assert.isFalse(acks.mayPoll(132), 'only the first is recorded');
  bench.recordedUntil = 132;
  assert.isTrue(acks.mayPoll(133));
});

test('ends of an idle worker are acknowledged after 150 ms', () => {
  const {bench, acks} = createBench();
  acks.receive(1, 10);
  bench.recordedUntil = 30;
  assert.isFalse(acks.isDue(159));
  assert.isTrue(acks.isDue(160));
  bench.recordedUntil = 0;
  assert.isFalse(acks.isDue(160));
});

test('ends of an earlier process instance are not acknowledged to the next', () => {
  const {acks} = createBench();
  acks.receive(7, 0);
  acks.reset();
  assert.equal(acks.take(2_000), 0);
  assert.isTrue(acks.receive(1, 2_000));
  assert.isFalse(acks.receive(1, 2_100));
});
