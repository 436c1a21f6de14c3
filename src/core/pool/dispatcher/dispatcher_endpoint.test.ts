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
  peers.deliver('e', 'pool.submit', job);
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
