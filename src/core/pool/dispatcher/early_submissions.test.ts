import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {EarlySubmissions} from './early_submissions.js';

test('a job waits 500 ms for its configuration, then it is refused', () => {
  const early = new EarlySubmissions();
  const submission = {...PoolBench.submission('j'), revision: 2, settleMs: 300};
  early.add({owner: 'e', submission, contactAt: 0}, 0);
  assert.isEmpty(early.take(1, 400));
  assert.isTrue(early.has('j'));
  const [taken] = early.take(1, 500);
  const passedOn = taken!.submission;
  assert.equal(taken!.owner, 'e');
  assert.equal(passedOn.waitedMs, 500);
  assert.equal(passedOn.patienceMs, submission.patienceMs - 500);
  // It still counts as a job that an earlier dispatcher may have run.
  assert.equal(passedOn.settleMs, 1);
  assert.isFalse(early.has('j'));
});

test('a job is passed on as soon as its configuration is there', () => {
  const early = new EarlySubmissions();
  const submission = {...PoolBench.submission('j'), revision: 2};
  early.add({owner: 'e', submission, contactAt: 0}, 0);
  assert.lengthOf(early.take(2, 20), 1);
});

// Guards against a start while an earlier dispatcher may still run the job: the time
// that another submission had waited was taken off the settling time.
test('a submission waits from its own arrival, not from that of an earlier one', () => {
  const early = new EarlySubmissions();
  const submission = PoolBench.submission('j');
  early.add({owner: 'e1', submission, contactAt: undefined}, 0);
  const moved = {...submission, settleMs: 1_800};
  early.add({owner: 'e2', submission: moved, contactAt: undefined}, 900);
  early.recordContact('e2', 'j', 900);
  const [taken] = early.take(1, 950);
  const {waitedMs, settleMs, patienceMs} = taken!.submission;
  assert.equal(settleMs, 1_750);
  assert.equal(waitedMs, 50);
  assert.equal(patienceMs, submission.patienceMs - 50);
});
