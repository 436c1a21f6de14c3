import {assert} from 'chai';
import {ReliefService} from './relief_service.js';

const TICK_MS = 50;

function createBench() {
  const events: Array<{event: string; fields: object}> = [];
  const noop = () => undefined;
  const service = new ReliefService({
    node: 'e1',
    share: 0.5,
    observer: {
      recordJobEvent: noop,
      recordStateChange: (event, fields) => events.push({event, fields}),
      recordResponseTime: noop,
      recordPhase: noop,
      incrementCounter: noop,
    },
  });
  let now = 0;
  return {
    events,
    service,
    hear: (...nodes: string[]) => {
      for (const node of nodes) {
        service.recordPeer({node, pressure: 0.2, isRelieved: false}, now);
      }
    },
    run: (ms: number, usedMs: number) => {
      let changes = 0;
      for (let passed = 0; passed < ms; passed += TICK_MS) {
        now += TICK_MS;
        const sample = {elapsedMs: TICK_MS, usedMs, delayMs: 0};
        if (service.update(sample, now)) changes += 1;
      }
      return changes;
    },
  };
}

test('the begin and the end of a withdrawal are logged', () => {
  const bench = createBench();
  bench.hear('e2', 'e3');
  assert.equal(bench.run(5_000, 25), 1);
  assert.isTrue(bench.service.isRelieved);
  bench.hear('e2', 'e3');
  assert.equal(bench.run(5_500, 2), 1);
  assert.deepEqual(
    bench.events.map(e => e.event),
    ['relief_begun', 'relief_ended'],
  );
  assert.deepInclude(bench.events[1]!.fields, {reason: 'pressure_low'});
});

// The others may all be gone; a node alone must serve.
test('nodes that are silent no longer count', () => {
  const bench = createBench();
  bench.hear('e2', 'e3');
  bench.run(7_000, 25);
  assert.isFalse(bench.service.isRelieved);
  assert.deepInclude(bench.events.at(-1)?.fields, {reason: 'too_few_nodes'});
});

test('a node that shuts down no longer counts', () => {
  const bench = createBench();
  bench.hear('e2', 'e3');
  bench.service.removePeer('e3');
  bench.run(5_000, 25);
  assert.isFalse(bench.service.isRelieved);
});
