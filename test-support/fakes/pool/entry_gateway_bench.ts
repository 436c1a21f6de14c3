import {EntryGateway} from '../../../src/core/pool/entry/entry_gateway.js';
import type {PoolAnswer} from '../../../src/core/pool/job/pool_answer.js';
import {NodeDirectory} from '../../../src/core/pool/node/node_directory.js';
import {FakeClock} from '../fake_clock.js';
import {PoolBench} from './pool_bench.js';
import {RecordingPeers} from './recording_peers.js';

/** Creates the gateway of an entry node in zone `z`, with one job to submit. */
export function createEntryGatewayBench() {
  const clock = new FakeClock();
  const peers = new RecordingPeers(clock);
  const noop = () => undefined;
  const directory = new NodeDirectory('e', ['c1', 'c2']);
  const events: Array<{event: string; fields: object}> = [];
  const gateway = new EntryGateway({
    zone: 'z',
    clock,
    peers,
    directory,
    observer: {
      recordJobEvent: (event, _job, fields) => events.push({event, fields}),
      recordStateChange: noop,
      recordResponseTime: noop,
      recordPhase: noop,
      incrementCounter: noop,
    },
  });
  const answers: PoolAnswer[] = [];
  const {host, path, job} = PoolBench.submission('j');
  return {
    clock,
    peers,
    directory,
    answers,
    events,
    gateway,
    submit: () => {
      const respond = (answer: PoolAnswer) => void answers.push(answer);
      gateway.submit({host, path, job, patienceMs: 8_000}, respond);
      return respond;
    },
    announceLeader: (node: string, term: number) => {
      const claim = {token: term * 1_000, isFallback: false, revision: 1};
      directory.claims.record({...claim, node, term, heardAt: clock.now()});
      gateway.tick(clock.now());
    },
    announceHolder: (node: string, token: number) => {
      const claim = {term: 1, token, isFallback: false, revision: 1, zone: 'z'};
      directory.claims.record({...claim, node, heardAt: clock.now()});
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
