import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {Telemetry} from '../../adapter/metrics/telemetry.js';
import {createLog} from './create_log.js';
import {LoggingObserver} from './logging_observer.js';

type Line = Record<string, unknown>;

function logTo(lines: string[], level: 'info' | 'debug') {
  return createLog({
    node: 'a1',
    zone: 'arbat',
    level,
    isTerminal: false,
    write: line => lines.push(line),
  });
}

test('a line is one JSON object with node, zone and fields', () => {
  const lines: string[] = [];
  logTo(lines, 'info').warn('peer error', {worker: 'w1'});
  assert.lengthOf(lines, 1);
  const line = JSON.parse(lines[0]!) as Line;
  assert.include(line, {level: 'warn', node: 'a1', zone: 'arbat'});
  assert.include(line, {message: 'peer error', worker: 'w1'});
});

test('quick repetitions are merged into one JSON line with their number', () => {
  const lines: string[] = [];
  const log = logTo(lines, 'info');
  for (let n = 0; n < 20; n += 1) log.warn('flood');
  log.warn('other');
  const messages = lines.map(line => (JSON.parse(line) as Line)['message']);
  assert.isBelow(messages.length, 10);
  assert.match(messages.join(), /flood \(repeated \d+ times\),other$/);
  for (const line of lines) assert.notProperty(JSON.parse(line), '0');
});

test('messages below the configured level are not logged', () => {
  const lines: string[] = [];
  logTo(lines, 'info').debug('detail');
  assert.isEmpty(lines);
});

test('the end of a job is logged without any payload', () => {
  const lines: string[] = [];
  const log = logTo(lines, 'debug');
  const {observer} = new Telemetry({
    prefix: '',
    tags: {},
    maxSeries: 10,
    clock: new DispatchBench().clock,
    onError: () => undefined,
  });
  const bench = new DispatchBench({
    observer: new LoggingObserver(log, observer),
  });
  const key = bench.submit([10], {
    tasks: [{payload: {ms: 10, fail: true, value: 'secret-payload'}}],
  });
  bench.clock.advance(1_000);
  const line = JSON.parse(lines.at(-1)!) as Line;
  assert.include(line, {message: 'job finished', job: key.text});
  assert.include(line, {class: 'default', status: 'failed'});
  assert.notInclude(lines.join(), 'secret');
});
