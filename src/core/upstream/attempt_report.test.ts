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

test('a result too deep to be encoded fails its task, not the daemon', () => {
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

test('a result within the bound is kept', () => {
  for (const result of [null, 'x', nested(64)]) {
    assert.deepEqual(reportOf(result), {id: '1.1', state: 'succeeded', result});
  }
});
