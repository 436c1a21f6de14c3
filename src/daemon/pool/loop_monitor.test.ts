import {assert} from 'chai';
import {recordedTelemetry} from '../../../test-support/fakes/pool/recorded_telemetry.js';
import {LoopMonitor} from './loop_monitor.js';

test('a delayed event loop is logged when it begins, grows and ends', () => {
  const {telemetry, lines} = recordedTelemetry();
  const monitor = new LoopMonitor(telemetry);
  monitor.record(0, 1_000);
  monitor.record(250, 1_270);
  monitor.record(300, 1_590);
  monitor.record(900, 2_510);
  monitor.record(3, 2_533);
  monitor.record(1, 4_510);
  monitor.record(1, 4_530);
  const shown = lines().map(({message, delay_ms, max_ms, late_ticks}) => [
    message,
    delay_ms ?? max_ms,
    late_ticks,
  ]);
  assert.deepEqual(shown, [
    ['loop_delayed', 250, undefined],
    ['loop_delayed', 900, undefined],
    ['loop_recovered', 900, 3],
  ]);
  assert.equal(lines().at(-1)!['after_ms'], 3_490);
});

test('delays of a loop without load leave no line and are in the histogram', async () => {
  const {telemetry, lines} = recordedTelemetry();
  const monitor = new LoopMonitor(telemetry);
  monitor.record(3, 1_000);
  monitor.record(150, 1_170);
  assert.isEmpty(lines());
  const text = await telemetry.registry.metrics();
  assert.include(text, 'pimentoyoke_loop_delay_seconds_bucket{le="0.005"} 1');
  assert.include(text, 'pimentoyoke_loop_delay_seconds_count 2');
});
