import {assert} from 'chai';
import {recordedTelemetry} from '../../../test-support/fakes/pool/recorded_telemetry.js';
import {LoadSampler} from './load_sampler.js';
import {LoopMonitor} from './loop_monitor.js';

test('what a process has done and how busy it was is logged every few seconds', () => {
  const {telemetry, lines} = recordedTelemetry();
  const loop = new LoopMonitor(telemetry);
  let processorMs = 700;
  const load = new LoadSampler({
    telemetry,
    loop,
    processorMs: () => processorMs,
  });
  telemetry.incrementCounter('starts');
  load.tick(10_000, 0);
  for (let n = 0; n < 3; n += 1) telemetry.incrementCounter('starts');
  loop.record(80, 12_000);
  processorMs = 1_700;
  load.tick(14_990, 7);
  load.tick(15_000, 7);
  load.tick(15_010, 7);
  assert.lengthOf(lines(), 1);
  assert.deepInclude(lines()[0], {
    message: 'load_sampled',
    elapsed_ms: 5_000,
    processor: 0.2,
    max_delay_ms: 80,
    open: 7,
    counts: {starts: 3},
  });
});
