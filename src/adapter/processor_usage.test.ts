import {assert} from 'chai';
import {ProcessorUsage} from './processor_usage.js';

// Guards against a wrong unit: a node would be withdrawn always or never.
test('the processor time of a busy thread is reported in ms', () => {
  const usage = new ProcessorUsage();
  const startedAt = process.cpuUsage();
  let used = 0;
  while (used < 50_000) {
    const {user, system} = process.cpuUsage(startedAt);
    used = user + system;
  }
  assert.approximately(usage.take(), 50, 25);
  assert.isBelow(usage.take(), 25);
});
