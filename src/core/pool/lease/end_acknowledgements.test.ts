import {assert} from 'chai';
import {EndAcknowledgements} from './end_acknowledgements.js';

// Guards against a successor that finds no trace of a run and takes its job for
// one that has not started.
test('an end stays on the list of its worker for 0.9 s', () => {
  const acks = new EndAcknowledgements();
  acks.receive(1, 0);
  assert.equal(acks.take(899), 0);
  assert.equal(acks.take(900), 1);
});

// Workers list 500 ends at a time; unacknowledged ones would fill the list.
test('ends of an idle worker are acknowledged after 1 s, several at once', () => {
  const acks = new EndAcknowledgements();
  acks.receive(1, 0);
  acks.receive(2, 90);
  acks.receive(3, 800);
  assert.isFalse(acks.isDue(999));
  assert.isTrue(acks.isDue(1_000));
  assert.equal(acks.take(1_000), 2);
  assert.isFalse(acks.isDue(1_799));
  assert.isTrue(acks.isDue(1_800));
  assert.equal(acks.take(1_800), 3);
  assert.isFalse(acks.isDue(9_000));
});

test('an end that is listed again counts once', () => {
  const acks = new EndAcknowledgements();
  assert.isTrue(acks.receive(1, 0));
  assert.isFalse(acks.receive(1, 800));
  assert.equal(acks.take(900), 1);
});

test('ends of an earlier process instance are not acknowledged to the next', () => {
  const acks = new EndAcknowledgements();
  acks.receive(7, 0);
  acks.reset();
  assert.equal(acks.take(2_000), 0);
  assert.isTrue(acks.receive(1, 2_000));
});
