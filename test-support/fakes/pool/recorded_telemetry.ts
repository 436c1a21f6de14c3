import {createLog} from '../../../src/daemon/log/create_log.js';
import {PoolTelemetry} from '../../../src/daemon/pool/pool_telemetry.js';
import {FakeClock} from '../fake_clock.js';

/** Creates telemetry whose log lines are kept as objects. */
export function recordedTelemetry() {
  const texts: string[] = [];
  const clock = new FakeClock();
  const log = createLog({
    node: 'n',
    zone: 'z',
    isTerminal: false,
    write: line => texts.push(line),
  });
  const lines = () =>
    texts.map(text => JSON.parse(text) as Record<string, unknown>);
  return {telemetry: new PoolTelemetry(log, clock), clock, lines};
}
