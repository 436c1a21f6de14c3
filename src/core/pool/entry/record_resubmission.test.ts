import {assert} from 'chai';
import {createEntryGatewayBench} from '../../../../test-support/fakes/pool/entry_gateway_bench.js';

// Whether two runs can overlap depends on what this node knew at that moment.
test('a change of dispatcher is logged with what was known of the earlier one', () => {
  const bench = createEntryGatewayBench();
  bench.announceHolder('c1', 1_001);
  bench.submit();
  bench.run(100);
  bench.announceHolder('c2', 1_002);
  const change = bench.events.find(e => e.event === 'job_reassigned')?.fields;
  assert.deepInclude(change, {
    from: 'c1',
    from_kind: 'holder',
    from_token: 1_001,
    from_silent_ms: 100,
    to: 'c2',
    to_kind: 'holder',
    token: 1_002,
    settle_ms: 1_800,
    earlier_token: 1_001,
  });
  const {body} = bench.peers.sent.filter(s => s.kind === 'pool.submit').at(-1)!;
  assert.equal((body as {earlierNode?: string}).earlierNode, 'c1');
});

test('a job that the dispatcher does not know is logged when it is resubmitted', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.clock.advance(300);
  bench.announceLeader('c1', 1);
  bench.peers.deliver('c1', 'pool.unknown', {ids: ['j']});
  const {event, fields} = bench.events.at(-1)!;
  assert.equal(event, 'job_resubmitted');
  assert.deepInclude(fields, {to: 'c1', submitted_ms_ago: 300});
});

test('a job that is sent again and a caller that disconnects are logged', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.clock.advance(40);
  const respond = bench.submit();
  bench.gateway.drop('j', respond);
  assert.deepEqual(
    bench.events.map(e => e.event),
    ['job_sent_again', 'caller_gone'],
  );
  const lead = {after_ms: 40, lead: 'c1', token: 1_000};
  assert.deepInclude(bench.events[0]!.fields, lead);
});

// Whether a run outlived its caller depends on how late this node read its sockets.
test('a caller that disconnects is logged with how late that may be read', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  const respond = bench.submit();
  bench.clock.advance(350);
  bench.gateway.drop('j', respond);
  const {event, fields} = bench.events.at(-1)!;
  assert.equal(event, 'caller_gone');
  assert.deepInclude(fields, {after_ms: 350, loop_behind_ms: 350});
});
