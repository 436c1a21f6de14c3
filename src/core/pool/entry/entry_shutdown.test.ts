import {assert} from 'chai';
import {createEntryGatewayBench} from '../../../../test-support/fakes/pool/entry_gateway_bench.js';
import {EntryShutdown} from './entry_shutdown.js';

const GRACE_MS = 6_000;

function createBench() {
  const bench = createEntryGatewayBench();
  const {gateway, peers, clock} = bench;
  const shutdown = new EntryShutdown({gateway, peers});
  shutdown.begin(clock.now() + GRACE_MS);
  /** Keeps the leader known, unless it is lost. */
  const runTo = (beforeEndMs: number, leader?: string) => {
    const until = GRACE_MS - beforeEndMs;
    while (clock.now() - startedAt < until) {
      bench.run(50);
      if (leader !== undefined) bench.announceLeader(leader, 1);
      shutdown.tick(clock.now());
    }
  };
  const startedAt = clock.now();
  const sent = (kind: string) => peers.sent.filter(s => s.kind === kind);
  return {...bench, runTo, sent};
}

// Guards against a process that exits without an answer to jobs that wait for a
// worker, and against one that gives up earlier than it has to.
test('a stopping entry node asks for the release of its jobs near the end', () => {
  const {submit, announceLeader, runTo, sent, peers, answers} = createBench();
  announceLeader('c1', 1);
  submit();
  runTo(450, 'c1');
  assert.isEmpty(sent('pool.release'));
  runTo(400, 'c1');
  const [release] = sent('pool.release');
  assert.deepInclude(release, {node: 'c1'});
  assert.deepInclude(release?.body, {ids: ['j']});
  assert.isEmpty(answers);
  const answer = {
    kind: 'refused',
    reason: 'entry_stopping',
    retryAfterMs: 1,
  } as const;
  peers.deliver('c1', 'pool.answer', {id: 'j', answer});
  assert.deepEqual(answers, [answer]);
  runTo(0, 'c1');
  assert.lengthOf(answers, 1);
});

// Without the word of the dispatcher, "not run" could be wrong.
test('a job that its dispatcher does not release is given up and dropped', () => {
  const {submit, announceLeader, runTo, sent, answers} = createBench();
  announceLeader('c1', 1);
  submit();
  runTo(300, 'c1');
  assert.isEmpty(answers);
  runTo(200, 'c1');
  assert.equal(answers[0]?.kind, 'given_up');
  assert.deepInclude(sent('pool.drop')[0]?.body, {id: 'j'});
  assert.isNotEmpty(sent('pool.unclear'));
});

test('a stopping entry node refuses a job that no dispatcher had', () => {
  const {submit, runTo, answers} = createBench();
  runTo(450);
  submit();
  runTo(350);
  assert.equal(answers[0]?.kind, 'refused');
});
