import {assert} from 'chai';
import {createEntryGatewayBench} from '../../../../test-support/fakes/pool/entry_gateway_bench.js';

test('a job is refused early when no dispatcher is known', () => {
  const bench = createEntryGatewayBench();
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
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.run(4_000);
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

test('an open job is submitted to a new leader immediately', () => {
  const bench = createEntryGatewayBench();
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
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  const answer = {kind: 'refused', reason: 'too_late', retryAfterMs: 1};
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer});
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

test('a job that is unknown to the leader is resubmitted', () => {
  const bench = createEntryGatewayBench();
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
  const bench = createEntryGatewayBench();
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
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  const answer = {kind: 'no_queue'};
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer});
  assert.equal(bench.answers[0]?.kind, 'given_up');
});

// Guards against a task that crashes two workers under each leader anew.
test('a job is submitted to the next leader with the workers lost under it', () => {
  const bench = createEntryGatewayBench();
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

// The leader may run the job in a zone whose workers the holder does not know.
test('a holder waits for the runs of a job that the leader had', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  const {clock, directory, peers} = bench;
  directory.claims.record({
    ...{node: 'c2', term: 1, token: 1_001, isFallback: false},
    ...{zone: 'z', revision: 1, heardAt: clock.now()},
  });
  bench.run(50);
  const last = peers.sent.at(-1)!;
  assert.include(last, {node: 'c2', kind: 'pool.submit'});
  assert.include(last.body, {settleMs: 1_800});
  assert.notProperty(last.body, 'earlierToken');
});

// The home was suspended after it had moved the job, and a fallback has it since.
test('a job that an earlier dispatcher had is not redirected', () => {
  const bench = createEntryGatewayBench();
  const {clock, directory, peers} = bench;
  const announce = (node: string, token: number) => {
    const claim = {term: 1, isFallback: false, zone: 'z', revision: 1};
    const heardAt = clock.now();
    directory.claims.record({...claim, node, token, heardAt});
  };
  announce('c1', 1_001);
  bench.submit();
  announce('c2', 1_002);
  bench.run(50);
  const to = {zone: 'y', node: 'c3', token: 1_003};
  peers.deliver('c2', 'pool.redirect', {id: 'j', ...to});
  for (let passed = 0; passed < 2_000; passed += 50) {
    announce('c2', 1_002);
    bench.run(50);
  }
  peers.deliver('c2', 'pool.redirect', {id: 'j', ...to});
  const submissions = peers.sent.filter(({kind}) => kind === 'pool.submit');
  assert.deepEqual(
    submissions.map(({node}) => node),
    ['c1', 'c2', 'c2'],
  );
  const last = submissions.at(-1)!.body as {settleMs: number};
  assert.isAbove(last.settleMs, 0);
});

test('a redirect is followed only from the dispatcher that has the job', () => {
  const bench = createEntryGatewayBench();
  const {peers} = bench;
  bench.announceLeader('c1', 1);
  bench.submit();
  const to = {zone: 'y', node: 'c3', token: 1_003};
  peers.deliver('c2', 'pool.redirect', {id: 'j', ...to});
  assert.equal(peers.sent.at(-1)?.node, 'c1');
  peers.deliver('c1', 'pool.redirect', {id: 'j', ...to});
  peers.deliver('c1', 'pool.redirect', {id: 'j', ...to});
  const submissions = peers.sent.filter(({kind}) => kind === 'pool.submit');
  assert.lengthOf(submissions, 2);
  assert.equal(submissions[1]!.node, 'c3');
  assert.include(submissions[1]!.body, {isLent: true, settleMs: 0});
  // The home has started nothing, so that "not run" is true.
  const answer = {kind: 'refused', reason: 'too_late', retryAfterMs: 1};
  peers.deliver('c3', 'pool.answer', {id: 'j', answer});
  assert.deepEqual(
    bench.answers.map(({kind}) => kind),
    ['refused'],
  );
});

// Guards against a submission that reaches the other dispatcher late and counts as
// contact with an entry node whose caller has gone.
test('a moved job names the claim of the dispatcher that it is moved to', () => {
  const bench = createEntryGatewayBench();
  const {peers} = bench;
  bench.announceLeader('c1', 1);
  bench.submit();
  const to = {zone: 'y', node: 'c3', token: 1_003, statedAt: 77};
  peers.deliver('c1', 'pool.redirect', {id: 'j', ...to});
  const {node, body} = peers.sent.findLast(s => s.kind === 'pool.submit')!;
  assert.equal(node, 'c3');
  assert.include(body, {claimStatedAt: 77});
});

// Guards against a start for a caller that has gone: the dispatcher asks before it.
test('an entry node confirms the jobs that it still holds', () => {
  const bench = createEntryGatewayBench();
  const {peers} = bench;
  bench.announceLeader('c1', 1);
  bench.submit();
  peers.deliver('c1', 'pool.confirm', {ids: ['j', 'gone'], claimStatedAt: 77});
  const body = {ids: ['j'], claimStatedAt: 77};
  assert.deepEqual(peers.sent.at(-1), {node: 'c1', kind: 'pool.poll', body});
  const count = peers.sent.length;
  peers.deliver('c2', 'pool.confirm', {ids: ['j'], claimStatedAt: 77});
  assert.lengthOf(peers.sent, count);
});

test('a job of a lost holder is submitted to the next with a time to settle', () => {
  const bench = createEntryGatewayBench();
  bench.announceHolder('c1', 1_001);
  bench.submit();
  bench.announceHolder('c2', 1_002);
  const submits = bench.peers.sent.filter(s => s.kind === 'pool.submit');
  assert.deepEqual(
    submits.map(s => s.node),
    ['c1', 'c2'],
  );
  assert.deepInclude(submits[0]?.body, {settleMs: 0});
  assert.deepInclude(submits[1]?.body, {settleMs: 1_800, earlierToken: 1_001});
});

// Guards against two runs at once after a leader had a worker that the next one lacks.
// Small deployments wait no longer if the next one knows the workers of the token.
test('a job of a lost leader settles by its token, or when its leases are over', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.announceLeader('c2', 2);
  const submits = bench.peers.sent.filter(s => s.kind === 'pool.submit');
  assert.deepInclude(submits[1]?.body, {settleMs: 950, earlierToken: 1_000});
});

test('only the dispatcher that has a job is asked about it', () => {
  const bench = createEntryGatewayBench();
  bench.announceHolder('c1', 1_001);
  bench.submit();
  for (let n = 0; n < 3; n += 1) {
    bench.run(200);
    bench.announceLeader('c2', 0);
    bench.announceHolder('c1', 1_001);
  }
  const polls = bench.peers.sent.filter(s => s.kind === 'pool.poll');
  assert.isNotEmpty(polls);
  assert.isTrue(polls.every(({node}) => node === 'c1'));
});

// A suspended dispatcher that resumed took the job from its queue of messages and
// ran it, while the caller had sent it again to another zone.
test('an earlier dispatcher is told to drop a job that another one has', () => {
  const bench = createEntryGatewayBench();
  bench.announceHolder('c1', 1_001);
  bench.submit();
  bench.announceHolder('c2', 1_002);
  const drops = bench.peers.sent.filter(({kind}) => kind === 'pool.drop');
  assert.deepEqual(drops, [
    {node: 'c1', kind: 'pool.drop', body: {id: 'j', reason: 'reassigned'}},
  ]);
});

test('a redirected job is submitted to the other zone, once', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('l', 1);
  bench.announceHolder('c1', 1_001);
  bench.submit();
  const redirect = {id: 'j', zone: 'y', node: 'c2', token: 1_002};
  bench.peers.deliver('other', 'pool.redirect', redirect);
  bench.peers.deliver('c1', 'pool.redirect', redirect);
  bench.peers.deliver('c2', 'pool.redirect', {...redirect, node: 'c3'});
  const submits = bench.peers.sent.filter(s => s.kind === 'pool.submit');
  assert.deepEqual(
    submits.map(s => s.node),
    ['c1', 'c2'],
  );
  assert.deepInclude(submits[1]?.body, {isLent: true, settleMs: 0});
  // The home has started nothing, so the refusal is true.
  const answer = {kind: 'refused', reason: 'no_room', retryAfterMs: 1};
  bench.peers.deliver('c2', 'pool.answer', {id: 'j', answer});
  assert.equal(bench.answers[0]?.kind, 'refused');
});

// The holder of the zone may be behind the entry node, which must not return to a
// former configuration.
test('a job states the revision that is in force at its entry node', () => {
  const bench = createEntryGatewayBench();
  bench.announceLeader('c1', 1);
  bench.announceHolder('c2', 1_004);
  bench.directory.claims.recordRevision(7);
  bench.submit();
  const submit = bench.peers.sent.find(s => s.kind === 'pool.submit');
  assert.equal(submit?.node, 'c2');
  assert.propertyVal(submit?.body, 'revision', 7);
});

// Guards against "not run" for a copy of a request that the dispatcher then starts: the
// answer to the first request was still on its way when the copy was submitted.
test('an answer to an earlier request does not turn away its copy', () => {
  const bench = createEntryGatewayBench();
  const {peers, gateway} = bench;
  bench.announceLeader('c1', 1);
  const first = bench.submit();
  gateway.drop('j', first);
  bench.submit();
  const [earlier, copy] = peers.sent
    .filter(({kind}) => kind === 'pool.submit')
    .map(({body}) => body as {request: number});
  const refused = {kind: 'refused', reason: 'too_late', retryAfterMs: 1};
  for (const answer of [refused, {kind: 'no_queue'}, {kind: 'failed'}]) {
    peers.deliver('c1', 'pool.answer', {...earlier, id: 'j', answer});
  }
  assert.isEmpty(bench.answers);
  const answer = {id: 'j', answer: refused};
  peers.deliver('c1', 'pool.answer', {...copy, ...answer});
  assert.deepEqual(
    bench.answers.map(({kind}) => kind),
    ['refused'],
  );
});

test('a job whose dispatcher has kept an answer to an earlier request is submitted again', () => {
  const bench = createEntryGatewayBench();
  const {peers} = bench;
  bench.announceLeader('c1', 1);
  bench.submit();
  bench.run(300);
  const answer = {kind: 'given_up', reason: 'deadline'};
  peers.deliver('c1', 'pool.answer', {id: 'j', answer, request: 1});
  const submits = peers.sent.filter(({kind}) => kind === 'pool.submit');
  assert.lengthOf(submits, 2);
  assert.isEmpty(bench.answers);
});
