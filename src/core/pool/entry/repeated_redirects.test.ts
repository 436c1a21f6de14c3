import {assert} from 'chai';
import {createEntryGatewayBench} from '../../../../test-support/fakes/pool/entry_gateway_bench.js';

const REDIRECT = {id: 'j', zone: 'y', node: 'c2', token: 1_002};

// Guards against a job without an answer until its deadline: two zones had moved the
// job and its copy to each other, so that the lender referred to the home on each poll.
test('a lent job that its lender redirects is submitted there again', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('l', 1);
  bench.announceHolder('c1', 1_001);
  bench.submit();
  bench.peers.deliver('c1', 'pool.redirect', REDIRECT);
  bench.run(300);
  const back = {id: 'j', zone: 'z', node: 'c1', token: 1_001};
  bench.peers.deliver('c2', 'pool.redirect', back);
  const submits = bench.peers.sent.filter(({kind}) => kind === 'pool.submit');
  assert.deepEqual(
    submits.map(({node}) => node),
    ['c1', 'c2', 'c2'],
  );
  assert.include(submits[2]!.body, {isLent: true});
});

// Guards against an untrue "not run": the first request for the job may have run at the
// lender, whose zone has no known dispatcher any more.
test('a job that is referred again is given up while its lender is not known', () => {
  for (const [statedAt, kind] of [
    [undefined, 'given_up'],
    [7, 'refused'],
  ] as const) {
    const bench = createEntryGatewayBench();
    bench.announceHolder('c1', 1_001);
    bench.submit();
    bench.peers.deliver('c1', 'pool.redirect', {...REDIRECT, statedAt});
    bench.run(1_000);
    assert.deepEqual(
      bench.answers.map(answer => answer.kind),
      [kind],
    );
    const unclear = bench.peers.sent.some(s => s.kind === 'pool.unclear');
    assert.equal(unclear, kind === 'given_up');
  }
});
