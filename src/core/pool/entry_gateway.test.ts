import {assert} from 'chai';
import {Result} from 'true-myth';
import {FakeClock} from '../../../test-support/fakes/fake_clock.js';
import {PoolBench} from '../../../test-support/fakes/pool/pool_bench.js';
import {PeerTransport} from '../peer/peer_transport.js';
import {EntryGateway} from './entry_gateway.js';
import {NodeDirectory} from './node_directory.js';
import type {PoolAnswer} from './pool_answer.js';

/** Keeps what an entry node sends, and delivers what a test says. */
class RecordingPeers extends PeerTransport {
  readonly sent: Array<{node: string; kind: string}> = [];

  constructor(private readonly clock: FakeClock) {
    super();
  }

  override send(node: string, kind: string): void {
    this.sent.push({node, kind});
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
  const directory = new NodeDirectory('e', ['c1', 'c2']);
  const gateway = new EntryGateway({
    clock,
    peers,
    directory,
    observer: {
      recordJobEvent: noop,
      recordStateChange: noop,
      recordResponseTime: noop,
      incrementCounter: noop,
    },
  });
  const answers: PoolAnswer[] = [];
  const {host, path, job} = PoolBench.submission('j');
  return {
    clock,
    peers,
    answers,
    submit: () =>
      gateway.submit({host, path, job, patienceMs: 8_000}, answer => {
        answers.push(answer);
      }),
    lead: (node: string, term: number) => {
      const claim = {token: term * 1_000, isFallback: false, revision: 1};
      directory.recordClaim({...claim, node, term, heardAt: clock.now()});
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

test('a job is refused soon when no lead is known', () => {
  const bench = createBench();
  bench.submit();
  bench.run(400);
  assert.equal(bench.answers[0]?.kind, 'refused');
  assert.notInclude(
    bench.peers.sent.map(s => s.kind),
    'pool.submit',
  );
});

// A lead that is gone may have run the job: "not run" would not be true.
test('a job of a lost lead is given up, not refused', () => {
  const bench = createBench();
  bench.lead('c1', 1);
  bench.submit();
  bench.run(4_000);
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

test('an open job is handed to a new lead at once', () => {
  const bench = createBench();
  bench.lead('c1', 1);
  bench.submit();
  bench.lead('c2', 2);
  const submits = bench.peers.sent.filter(s => s.kind === 'pool.submit');
  assert.deepEqual(
    submits.map(s => s.node),
    ['c1', 'c2'],
  );
});

test('a refusal by a second lead does not say that nothing has run', () => {
  const bench = createBench();
  bench.lead('c1', 1);
  bench.submit();
  bench.lead('c2', 2);
  const answer = {kind: 'refused', reason: 'too_late', retryAfterMs: 1};
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer});
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

test('a job that the lead does not know is handed in again', () => {
  const bench = createBench();
  bench.lead('c1', 1);
  bench.submit();
  bench.run(300);
  bench.peers.deliver('c1', 'pool.unknown', {ids: ['j']});
  const submits = bench.peers.sent.filter(s => s.kind === 'pool.submit');
  assert.lengthOf(submits, 2);
});
