import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {RecordingPeers} from '../../../../test-support/fakes/pool/recording_peers.js';
import {DispatcherEndpoint} from './dispatcher_endpoint.js';

// A fallback counts on the leader to drop the jobs of its zone in time, which a
// leader with a blocked event loop does late.
test('a silent entry node is named with its silence and the age of the last tick', () => {
  const bench = new PoolBench(0);
  const {clock} = bench;
  const peers = new RecordingPeers(clock);
  const events: Array<{event: string; fields: object}> = [];
  const noop = () => undefined;
  const endpoint = new DispatcherEndpoint({
    clock,
    peers,
    routing: () => PoolBench.table(),
    observer: {
      recordJobEvent: noop,
      recordStateChange: (event, fields) => events.push({event, fields}),
      recordResponseTime: noop,
      recordPhase: noop,
      incrementCounter: noop,
    },
  });
  endpoint.attach(bench.createDispatcher({isRegistryComplete: false}));
  const job = PoolBench.submission('j', {estimatedMs: 2_000});
  const claimStatedAt = clock.now();
  peers.deliver('e', 'pool.submit', {...job, claimStatedAt});
  clock.advance(1_000);
  endpoint.tick(clock.now());
  assert.isEmpty(events);
  clock.advance(700);
  endpoint.tick(clock.now());
  const [{event, fields} = {event: '', fields: {}}] = events;
  assert.equal(event, 'owner_silent');
  const silence = {owner: 'e', jobs: 1, silent_ms: 1_700, since_tick_ms: 700};
  assert.deepInclude(fields, {...silence, token: 1_000});
});

/** Peers whose requests can be delivered. */
class RequestingPeers extends RecordingPeers {
  deliverRequest(method: string, body: unknown): Promise<unknown> {
    return this.requestHandlers.get(method)!('e', body);
  }
}

/** An endpoint whose dispatcher knows no workers yet, and its peers. */
function createEndpoint(workers = 0) {
  const bench = new PoolBench(workers);
  const {clock} = bench;
  const peers = new RequestingPeers(clock);
  const noop = () => undefined;
  const endpoint = new DispatcherEndpoint({
    clock,
    peers,
    routing: () => PoolBench.table(),
    observer: {
      recordJobEvent: noop,
      recordStateChange: noop,
      recordResponseTime: noop,
      recordPhase: noop,
      incrementCounter: noop,
    },
  });
  const dispatcher = bench.createDispatcher({
    term: 2,
    isRegistryComplete: false,
  });
  endpoint.attach(dispatcher);
  return {bench, clock, peers, endpoint, dispatcher};
}

// Its entry node submits the job again within 700 ms, and it would run although its
// caller was told that there is no such job.
test('a dispatcher does not deny a job before entry nodes have resubmitted theirs', async () => {
  const {peers} = createEndpoint();
  const cancel = {kind: 'cancel', path: '/q/j', id: 'j'};
  assert.isUndefined(await peers.deliverRequest('pool.ask', cancel));
  const state = {kind: 'state', id: 'j'};
  assert.isUndefined(await peers.deliverRequest('pool.ask', state));
});

// Its cancel and its state were answered as for an unknown job, and it was started as
// soon as its configuration had come.
test('a job that waits for its configuration is known and can be cancelled', async () => {
  const {clock, peers, endpoint, dispatcher} = createEndpoint();
  clock.advance(2_000);
  endpoint.tick(clock.now());
  const claimStatedAt = clock.now();
  const submission = {...PoolBench.submission('j'), revision: 2, claimStatedAt};
  peers.deliver('e', 'pool.submit', submission);
  const state = {kind: 'state', id: 'j'};
  const found = {found: true};
  assert.deepEqual(await peers.deliverRequest('pool.ask', state), found);
  const cancel = {kind: 'cancel', path: '/a/j', id: 'j'};
  assert.deepEqual(await peers.deliverRequest('pool.ask', cancel), found);
  const answer = {id: 'j', answer: {kind: 'cancelled'}};
  const sent = [{node: 'e', kind: 'pool.answer', body: answer}];
  assert.deepEqual(peers.sent, sent);
  clock.advance(500);
  endpoint.tick(clock.now());
  assert.isFalse(dispatcher.has('j'));
  assert.deepEqual(peers.sent, sent);
});

// Its caller may have gone while the message was on its way, and may have sent the job
// again to another dispatcher: the contact counted from the reading of the message.
test('a submission that names no claim starts when its entry node confirms it', () => {
  const {clock, peers, endpoint, dispatcher} = createEndpoint();
  peers.deliver('e', 'pool.submit', PoolBench.submission('j'));
  const confirm = {ids: ['j'], claimStatedAt: clock.now()};
  const sent = [{node: 'e', kind: 'pool.confirm', body: confirm}];
  assert.deepEqual(peers.sent, sent);
  endpoint.tick(clock.now());
  assert.isFalse(dispatcher.has('j'));
  assert.isTrue(endpoint.owners.has('e'));
  clock.advance(3);
  peers.deliver('e', 'pool.poll', confirm);
  assert.isTrue(dispatcher.has('j'));
  assert.equal(dispatcher.jobs.get('j')?.contactAt, confirm.claimStatedAt);
});

test('a submission that its entry node does not confirm is dropped', () => {
  const {clock, peers, endpoint, dispatcher} = createEndpoint();
  peers.deliver('e', 'pool.submit', PoolBench.submission('j'));
  const {claimStatedAt} = peers.sent[0]!.body as {claimStatedAt: number};
  clock.advance(1_001);
  endpoint.tick(clock.now());
  peers.deliver('e', 'pool.poll', {ids: ['j'], claimStatedAt});
  assert.isFalse(dispatcher.has('j'));
  const unknown = {node: 'e', kind: 'pool.unknown', body: {ids: ['j']}};
  assert.deepEqual(peers.sent.at(-1), unknown);
});

// The link may have lost the question.
test('a poll that names no claim is asked again for what it confirms', () => {
  const {clock, peers} = createEndpoint();
  peers.deliver('e', 'pool.submit', PoolBench.submission('j'));
  clock.advance(200);
  peers.deliver('e', 'pool.poll', {ids: ['j']});
  const confirm = {ids: ['j'], claimStatedAt: clock.now()};
  const last = {node: 'e', kind: 'pool.confirm', body: confirm};
  assert.deepEqual(peers.sent.at(-1), last);
});

test('a cancel ends a submission that is not confirmed', async () => {
  const {peers, endpoint} = createEndpoint();
  peers.deliver('e', 'pool.submit', PoolBench.submission('j'));
  const cancel = {kind: 'cancel', path: '/a/j', id: 'j'};
  const found = {found: true};
  assert.deepEqual(await peers.deliverRequest('pool.ask', cancel), found);
  assert.isFalse(endpoint.owners.has('e'));
});

// Guards against a job that is settled by the workers of another dispatcher.
test('a submission for another dispatcher of the node is not taken', () => {
  const {clock, peers, dispatcher} = createEndpoint();
  const job = PoolBench.submission('j');
  const claimStatedAt = clock.now();
  peers.deliver('e', 'pool.submit', {...job, claimStatedAt, dispatcher: 1_000});
  assert.isFalse(dispatcher.has('j'));
  const unknown = {node: 'e', kind: 'pool.unknown', body: {ids: ['j']}};
  assert.deepEqual(peers.sent, [unknown]);
  peers.deliver('e', 'pool.submit', {...job, claimStatedAt, dispatcher: 2_000});
  assert.isTrue(dispatcher.has('j'));
});

// Guards against a second run for a caller that has been answered: its submission
// still waited to be confirmed when the job ended for another entry node.
test('a job that ends before a submission is confirmed is not started again', async () => {
  const {bench, clock, peers, endpoint} = createEndpoint(1);
  const dispatcher = bench.createDispatcher({term: 3});
  endpoint.attach(dispatcher);
  const job = PoolBench.submission('j');
  const claimStatedAt = clock.now();
  peers.deliver('e1', 'pool.submit', {...job, claimStatedAt});
  await bench.run(50, dispatcher);
  assert.lengthOf([...bench.workers.get('w0')!.running], 1);
  peers.deliver('e2', 'pool.submit', job);
  const {body} = peers.sent.at(-1)!;
  await bench.run(200, dispatcher);
  const answer = bench.answers.get('j')!;
  assert.equal(answer.kind, 'completed');
  endpoint.answer('e1', 'j', answer);
  peers.deliver('e2', 'pool.poll', body);
  const last = {node: 'e2', kind: 'pool.answer', body: {id: 'j', answer}};
  assert.deepEqual(peers.sent.at(-1), last);
  endpoint.tick(clock.now());
  assert.isFalse(dispatcher.has('j'));
});

// Guards against a job that is stopped when an earlier entry node drops it.
test('a submission that is confirmed late does not replace a newer one', () => {
  const {clock, peers, dispatcher} = createEndpoint();
  const job = PoolBench.submission('j');
  const claimStatedAt = clock.now();
  peers.deliver('e1', 'pool.submit', job);
  peers.deliver('e2', 'pool.submit', {...job, claimStatedAt});
  peers.deliver('e1', 'pool.poll', {ids: ['j'], claimStatedAt});
  assert.equal(dispatcher.jobs.get('j')?.owner, 'e2');
});

// Guards against an answer that is taken for one to a later request for the same job.
test('an answer names the request that it is for, also when it is repeated', () => {
  const {peers, endpoint, clock} = createEndpoint();
  const claimStatedAt = clock.now();
  const job = PoolBench.submission('j', {estimatedMs: 2_000});
  peers.deliver('e', 'pool.submit', {...job, request: 7, claimStatedAt});
  // The requests of open jobs are kept.
  for (const ms of [600, 600]) {
    clock.advance(ms);
    endpoint.tick(clock.now());
    peers.deliver('e', 'pool.poll', {ids: ['j'], claimStatedAt: clock.now()});
  }
  const answer = {kind: 'failed'} as const;
  endpoint.answer('e', 'j', answer);
  const body = {id: 'j', answer, request: 7};
  const sent = {node: 'e', kind: 'pool.answer', body};
  assert.deepEqual(peers.sent, [sent]);
  peers.deliver('e', 'pool.poll', {ids: ['j'], claimStatedAt: clock.now()});
  assert.deepEqual(peers.sent, [sent, sent]);
});

// Guards against an untrue "not run": the job was refused here, and its caller sent it
// to a second entry node, for which it ran in another zone.
test('a refusal is repeated to no other entry node', () => {
  const {clock, peers, endpoint} = createEndpoint();
  const refused = {kind: 'refused', reason: 'x', retryAfterMs: 1} as const;
  endpoint.answer('e1', 'j', refused);
  peers.deliver('e1', 'pool.unclear', {ids: ['j']});
  const claimStatedAt = clock.now();
  clock.advance(1_300);
  // It is read too late, so that it is ignored.
  const submission = {...PoolBench.submission('j'), claimStatedAt};
  peers.deliver('e2', 'pool.submit', submission);
  peers.deliver('e2', 'pool.poll', {ids: ['j'], claimStatedAt: clock.now()});
  const unknown = {node: 'e2', kind: 'pool.unknown', body: {ids: ['j']}};
  assert.deepEqual(peers.sent.at(-1), unknown);
});
