import {assert} from 'chai';
import {OperatorRun} from './operator_run.js';
import {OperatorShape} from './operator_shape.js';

/** Includes the start of all processes on a loaded machine. */
const TIMEOUT_MS = 180_000;

// Guards against acknowledged configurations that are lost, late or older, and
// invalid ones that are taken, when processes fail after an acknowledgement.
test('real processes keep confirmed configurations under faults', async () => {
  const shape = OperatorShape['three']!;
  const run = new OperatorRun({seed: 1, rounds: 3, shape, load: 0});
  await run.run();
  const {history, deployment} = run;
  const logs = `logs: ${deployment.dir}`;
  assert.deepEqual(history.violations, [], logs);
  assert.deepEqual([...history.invalidAcknowledged], [], logs);
  assert.isAbove(history.checked, 0);
}).timeout(TIMEOUT_MS);
