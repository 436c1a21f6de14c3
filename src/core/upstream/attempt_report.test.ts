import {assert} from 'chai';
import * as v from 'valibot';
import {AttemptReport} from './attempt_report.js';

function reportOf(result: unknown): AttemptReport {
  return v.parse(AttemptReport, {id: '1.1', state: 'succeeded', result});
}

function nested(levels: number): unknown {
  let value: unknown = 1;
  for (let n = 0; n < levels; n += 1) value = n % 2 ? {a: value} : [value, 2];
  return value;
}

// Guards against stack exhaustion in an encoder, which would end the daemon.
test('a result that is nested too deeply to encode fails its task', () => {
  for (const levels of [65, 200_000]) {
    const report = reportOf(nested(levels));
    assert.propertyVal(report, 'state', 'failed');
    assert.propertyVal(
      report,
      'error',
      'the result is nested deeper than 64 levels',
    );
  }
});

test('a result within the depth limit is kept', () => {
  for (const result of [null, 'x', nested(64)]) {
    assert.deepEqual(reportOf(result), {id: '1.1', state: 'succeeded', result});
  }
});
