import {assert} from 'chai';
import {RecordConfirmations} from './record_confirmations.js';

test('ends are recorded when all nodes have confirmed them', () => {
  const confirmations = new RecordConfirmations();
  confirmations.confirm('c2', 1, 0);
  confirmations.confirm('c3', 1, 0);
  confirmations.sent(2, 100);
  confirmations.confirm('c2', 2, 102);
  assert.equal(confirmations.recordedUntil(['c2'], 103), 100);
  assert.equal(confirmations.recordedUntil(['c2', 'c3'], 103), -Infinity);
  confirmations.confirm('c3', 2, 104);
  assert.equal(confirmations.recordedUntil(['c2', 'c3'], 105), 100);
});

// Otherwise, a core node that has gone would hold all ends for 1 s.
test('a silent node is not waited for, and is told so before', () => {
  const confirmations = new RecordConfirmations();
  confirmations.sent(1, 0);
  confirmations.confirm('c2', 1, 2);
  assert.isTrue(confirmations.isAwaited('c2', 152));
  assert.isFalse(confirmations.isAwaited('c2', 153));
  confirmations.sent(2, 700);
  assert.equal(confirmations.recordedUntil(['c2'], 752), 0);
  assert.equal(confirmations.recordedUntil(['c2'], 753), 700);
});

test('a single core node waits for nobody', () => {
  const confirmations = new RecordConfirmations();
  confirmations.sent(1, 5);
  assert.equal(confirmations.recordedUntil([], 5), 5);
  assert.isFalse(confirmations.isAwaited('c2', 5));
});
