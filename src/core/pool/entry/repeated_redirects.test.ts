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
