import {assert} from 'chai';
import {Result} from 'true-myth';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {PeerTransport} from '../../peer/peer_transport.js';
import {EntryGateway} from './entry_gateway.js';
import {NodeDirectory} from '../node/node_directory.js';
import type {PoolAnswer} from '../job/pool_answer.js';

/** Records the messages of an entry node and delivers messages to it. */
class RecordingPeers extends PeerTransport {
  readonly sent: Array<{node: string; kind: string; body: unknown}> = [];

  constructor(private readonly clock: FakeClock) {
    super();
  }

  override send(node: string, kind: string, body: unknown): void {
    this.sent.push({node, kind, body});
  }

  override request(): Promise<Result<unknown, never>> {
    return Promise.resolve(Result.ok(undefined));
  }

  deliver(from: string, kind: string, body: unknown): void {
    this.messageHandlers.get(kind)?.(from, body, this.clock.now());
  }
}

function createBench() {
  const clock = new FakeClock();
  const peers = new RecordingPeers(clock);
  const noop = () => undefined;
  const counters: string[] = [];
  const directory = new NodeDirectory('e', ['c1', 'c2']);
  const gateway = new EntryGateway({
    clock,
    peers,
    directory,
    observer: {
      recordJobEvent: noop,
      recordStateChange: noop,
      recordResponseTime: noop,
      incrementCounter: counter => counters.push(counter),
    },
  });
  const answers: PoolAnswer[] = [];
  const {host, path, job} = PoolBench.submission('j');
  return {
    clock,
    peers,
    answers,
    counters,
    submit: () =>
      gateway.submit({host, path, job, patienceMs: 8_000}, answer => {
        answers.push(answer);
      }),
    announceLeader: (node: string, term: number) => {
      const claim = {token: term * 1_000, isFallback: false, revision: 1};
      directory.recordClaim({...claim, node, term, heardAt: clock.now()});
      gateway.tick(clock.now());
    },
    announceFallback: (node: string, term: number, token: number) => {
      const claim = {node, term, token, isFallback: true, revision: 1};
      directory.recordClaim({...claim, heardAt: clock.now()});
      gateway.tick(clock.now());
    },
    run: (ms: number) => {
      for (let passed = 0; passed < ms; passed += 50) {
        clock.advance(50);
        gateway.tick(clock.now());
      }
    },
  };
}

test('a job is refused early when no dispatcher is known', () => {
  const bench = createBench();
  bench.submit();
  bench.run(400);
  assert.equal(bench.answers[0]?.kind, 'refused');
  assert.notInclude(
    bench.peers.sent.map(s => s.kind),
    'pool.submit',
  );
});

// The lost leader may have run the job, so "refused" would be wrong.
test('a job of a lost leader is given up, not refused', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.run(4_000);
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

test('an open job is submitted to a new leader immediately', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  const submits = bench.peers.sent.filter(s => s.kind === 'pool.submit');
  assert.deepEqual(
    submits.map(s => s.node),
    ['c1', 'c2'],
  );
});

test('a refusal by a second leader is not reported as not run', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  const answer = {kind: 'refused', reason: 'too_late', retryAfterMs: 1};
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer});
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

const PROVED = {
  kind: 'refused',
  reason: 'too_late',
  retryAfterMs: 1,
  isProved: true,
} as const;

test('a proved refusal by a second leader is reported as not run', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer: PROVED});
  assert.deepEqual(bench.answers, [PROVED]);
  assert.deepEqual(bench.counters, ['refusals_proved']);
});

// The proof is of a leader that has not heard yet of the fallback that had the
// job; the workers obey the fallback.
test('a proof under a lower token than that of an earlier dispatcher is ignored', () => {
  const bench = createBench();
  bench.announceFallback('e2', 1, 1_001);
  bench.submit();
  bench.announceLeader('c1', 1);
  bench.peers.deliver('c1', 'pool.answer', {id: 'j', answer: PROVED});
  assert.equal(bench.answers[0]?.kind, 'given_up');
  assert.deepEqual(bench.counters, ['refusals_unproved']);
});

// A successor knows the starts of its predecessor only some seconds back.
test('a proof about an old job is ignored', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  for (let waited = 0; waited < 4_200; waited += 300) {
    bench.run(300);
    bench.announceLeader('c1', 1);
  }
  bench.announceLeader('c2', 2);
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer: PROVED});
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

test('a job that is unknown to the leader is resubmitted', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.run(300);
  bench.peers.deliver('c1', 'pool.unknown', {ids: ['j']});
  const submits = bench.peers.sent.filter(s => s.kind === 'pool.submit');
  assert.lengthOf(submits, 2);
});

// A leader that was suspended wakes with the jobs and the configuration of
// before, while another leader runs the job.
test('only the dispatcher that has a job can turn it away', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  const stale = [
    {kind: 'refused', reason: 'too_late', retryAfterMs: 1},
    {kind: 'given_up', reason: 'deadline'},
    {kind: 'no_queue'},
    {kind: 'failed'},
  ];
  for (const answer of stale) {
    bench.peers.deliver('c1', 'pool.answer', {id: 'j', answer});
  }
  assert.isEmpty(bench.answers);
  const answer = {kind: 'completed'};
  bench.peers.deliver('c1', 'pool.answer', {id: 'j', answer});
  assert.deepEqual(bench.answers, [{kind: 'completed'}]);
});

// 404 says that nothing has run; the first leader may have run the job before
// the queue was removed.
test('a job of a removed queue is given up if another leader had it', () => {
  const bench = createBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  const answer = {kind: 'no_queue'};
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer});
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

// Guards against a task that crashes two workers under each leader anew.
test('a job is submitted to the next leader with the workers lost under it', () => {
  const bench = createBench();
  const losses = [
    {
      task: 'j.0.0.0',
      worker: 'w',
      address: 'w:1',
      bornAt: 1,
      hasStarted: true,
      isCrashed: true,
    },
  ];
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.peers.deliver('c1', 'pool.losses', {id: 'j', losses});
  // A leader that does not have the job knows less.
  bench.peers.deliver('c2', 'pool.losses', {id: 'j', losses: []});
  bench.announceLeader('c2', 2);
  const [submission] = bench.peers.sent.filter(({node}) => node === 'c2');
  assert.equal(submission?.kind, 'pool.submit');
  assert.deepInclude(submission?.body, {losses});
});
