import {assert} from 'chai';
import {HistogramSet} from './histogram_set.js';

test('a summary reports count, percentiles and maximum of the recorded times', () => {
  const set = new HistogramSet(10);
  for (let ms = 1; ms <= 100; ms += 1) set.record('response', 'class', 'a', ms);
  const [summary] = set.summaries();
  assert.include(summary, {measure: 'response', by: 'class', name: 'a'});
  assert.include(summary, {count: 100, p50_ms: 50, p99_ms: 99, max_ms: 100});
});

test('names beyond the limit share one series per measure', () => {
  const set = new HistogramSet(3);
  for (let n = 0; n < 1_000; n += 1) {
    set.record('queue', 'tenant', `t${n}`, n);
    set.record('response', 'tenant', `t${n}`, n);
  }
  const summaries = set.summaries();
  assert.lengthOf(summaries, 5);
  const total = summaries.reduce((sum, each) => sum + each.count, 0);
  assert.equal(total, 2_000);
});

test('times outside the range are recorded at its limits', () => {
  const set = new HistogramSet(10);
  set.record('queue', 'class', 'a', -5);
  set.record('queue', 'class', 'a', 1e12);
  const [summary] = set.summaries();
  assert.equal(summary?.count, 2);
  assert.approximately(summary!.max_ms, 3_600_000, 40_000);
});
