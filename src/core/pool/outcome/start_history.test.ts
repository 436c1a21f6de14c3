import {assert} from 'chai';
import {StartHistory} from './start_history.js';

const WORKERS = 77;
const RELIABLE = {isSettled: true, isAwaited: true};
const NEVER = Number.NEGATIVE_INFINITY;

/** A record of 6 s of messages without a gap; the last one arrived at 6 s. */
function createRecord(
  change: (n: number) => {
    readonly from?: string;
    readonly token?: number;
    readonly number?: number;
    readonly isSettled?: boolean;
    readonly isAwaited?: boolean;
  } = () => ({}),
) {
  const history = new StartHistory();
  for (let n = 0; n <= 30; n += 1) {
    const {from = 'c1', ...changed} = change(n);
    const batch = {
      token: 1_000,
      number: n,
      jobs: [`j${n}`],
      workers: WORKERS,
      isSettled: true,
      isAwaited: true,
      ...changed,
    };
    history.receive(from, batch, n * 200);
  }
  return history;
}

test('the record covers orders up to 0.45 s after the last message', () => {
  assert.equal(createRecord().completeUntil(WORKERS, 6_000), 6_450);
  assert.include([...createRecord().jobs], 'j30');
});

// A job could have run under an earlier dispatcher, before the record begins.
test('a record of less than 5 s is not complete', () => {
  const history = new StartHistory();
  const batch = {token: 1, number: 1, jobs: [], workers: WORKERS};
  history.receive('c1', {...batch, ...RELIABLE}, 0);
  assert.equal(history.completeUntil(WORKERS, 4_999), NEVER);
  assert.equal(new StartHistory().completeUntil(WORKERS, 9_999), NEVER);
});

test('a lost message makes the record incomplete', () => {
  const history = createRecord(n => ({number: n < 20 ? n : n + 1}));
  assert.equal(history.completeUntil(WORKERS, 6_000), NEVER);
});

// Ends that were listed in the pause may have been acknowledged by its end.
test('a pause between messages makes the record incomplete', () => {
  const history = createRecord();
  const batch = {token: 1_000, number: 31, jobs: [], workers: WORKERS};
  history.receive('c1', {...batch, ...RELIABLE}, 6_451);
  assert.equal(history.completeUntil(WORKERS, 6_451), NEVER);
});

test('another dispatcher or token begins the record anew', () => {
  const byNode = createRecord(n => ({from: n < 20 ? 'c1' : 'c2'}));
  assert.equal(byNode.completeUntil(WORKERS, 6_000), NEVER);
  const byToken = createRecord(n => ({token: n < 20 ? 1_000 : 1_002}));
  assert.equal(byToken.completeUntil(WORKERS, 6_000), NEVER);
});

// A dispatcher that has just started uses workers before others know them.
test('messages of a dispatcher that has just started are not sufficient', () => {
  const history = createRecord(n => ({isSettled: n >= 20}));
  assert.equal(history.completeUntil(WORKERS, 6_000), NEVER);
});

// The predecessor may have started the job on a worker that is not known here.
test('a record of other workers is not complete', () => {
  assert.equal(createRecord().completeUntil(WORKERS + 1, 6_000), NEVER);
});

// Its dispatcher does not hold ends for it, so they may be acknowledged at once
// when the link breaks.
test('the record of a node that is not waited for is not complete', () => {
  const history = createRecord(n => ({isAwaited: n !== 20}));
  assert.equal(history.completeUntil(WORKERS, 6_000), NEVER);
});
