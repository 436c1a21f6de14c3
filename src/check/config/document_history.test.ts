import {assert} from 'chai';
import {DocumentHistory} from './document_history.js';

/** A history in which revision 1 was acknowledged at 100 and 2 at 200. */
function createHistory(): DocumentHistory {
  const history = new DocumentHistory(2_500, 0);
  history.recordAcknowledged(history.recordSend(1, 'one'), 100);
  history.recordAcknowledged(history.recordSend(2, 'two'), 200);
  return history;
}

test('a document that is late at a calm node is reported once', () => {
  const history = createHistory();
  history.observe('f1', 1, 'one', 2_699);
  assert.isEmpty(history.violations);
  history.observe('f1', 1, 'one', 2_700);
  history.observe('f1', 1, 'one', 2_750);
  assert.deepEqual(history.violations, ['2700: f1 has 1, 2500 ms after 2']);
});

test('a late document is not reported at a node that is not in touch', () => {
  const history = createHistory();
  history.recordFault(['f1']);
  history.observe('f1', 1, 'one', 20_000);
  history.recordMended(['f1'], 20_000);
  history.observe('f1', 1, 'one', 23_999);
  assert.isEmpty(history.violations);
  history.recordCoreFault(22_000);
  history.observe('f1', 1, 'one', 25_999);
  assert.isEmpty(history.violations);
  history.observe('f1', 1, 'one', 26_000);
  assert.lengthOf(history.violations, 1);
});

test('an older document after a newer one is reported, in one process', () => {
  const history = createHistory();
  history.observe('f1', 2, 'two', 300);
  history.recordStart('f1');
  history.observe('f1', 1, 'one', 400);
  assert.isEmpty(history.violations);
  history.observe('f1', 2, 'two', 500);
  history.observe('f1', 1, 'one', 600);
  assert.deepEqual(history.violations, ['600: f1 went back from 2 to 1']);
});

test('a read that is older than an acknowledged document is reported', () => {
  const history = createHistory();
  history.recordRead(150, 1, 'one');
  assert.isEmpty(history.violations);
  history.recordRead(200, 1, 'one');
  assert.lengthOf(history.violations, 1);
});

test('two contents of one revision are reported', () => {
  const history = createHistory();
  history.recordSend(3, 'three');
  history.recordSend(3, 'another');
  history.recordRead(300, 3, 'three');
  history.recordRead(400, 3, 'another');
  assert.lengthOf(history.violations, 1);
  history.recordRead(400, 2, 'never sent');
  assert.lengthOf(history.violations, 2);
});
