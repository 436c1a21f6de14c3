import {assert} from 'chai';
import {DisruptionLog} from './disruption_log.js';
import {InvalidBody} from './invalid_body.js';
import {OperatorConfig} from './operator_config.js';
import {OperatorHistory} from './operator_history.js';

const BOUNDS = {applyMs: 2_500, rollbackMs: 250, skewMs: 6_000};
const CONTACT_MS = 4_000;
const CORES = 6;

/** Version 1 has `/old/`, version 2 has `/new/`; both are acknowledged. */
function createBench() {
  const disruptions = new DisruptionLog(CONTACT_MS, CORES);
  const history = new OperatorHistory(BOUNDS, disruptions);
  const [first, second] = [
    new OperatorConfig(1, new Map([['/old/', 'guarded']]), 1_000),
    new OperatorConfig(2, new Map([['/new/', 'guarded']]), 1_000),
  ] as const;
  history.acknowledge(history.add(first, 0), 0);
  history.acknowledge(history.add(second, 9_000), 10_000);
  type Seen = Parameters<OperatorHistory['observe']>[0]['seen'];
  const observe = (route: string, seen: Seen, at: number, incarnation = 1) =>
    history.observe({
      ...{entry: 'e', incarnation, route, seen},
      ...{sentAt: at, endedAt: at + 1},
    });
  const rules = () =>
    history.violations.map(text => text.split(' ')[1]!.replace(':', ''));
  return {disruptions, history, first, second, observe, rules};
}

// Guards against a check that passes because it does not notice violations.
test('a route that is denied after the bound is reported', () => {
  const {observe, rules} = createBench();
  observe('/new/', 'absent', 12_500);
  assert.deepEqual(rules(), []);
  observe('/new/', 'absent', 12_501);
  assert.deepEqual(rules(), ['LATE']);
});

test('a dropped route that runs after the bound is reported', () => {
  const {observe, rules} = createBench();
  observe('/old/', 'guarded', 12_501);
  assert.deepEqual(rules(), ['LATE']);
});

test('a process that was disturbed is bound only after the contact time', () => {
  const {disruptions, observe, rules} = createBench();
  disruptions.add(12_000, 'kill', {entries: ['e']}).until = 13_000;
  observe('/new/', 'absent', 17_000);
  assert.deepEqual(rules(), []);
  observe('/new/', 'absent', 17_001);
  assert.deepEqual(rules(), ['LATE']);
});

test('a minority of disturbed core processes stretches the bound only', () => {
  const {disruptions, observe, rules} = createBench();
  disruptions.add(12_000, 'suspend', {cores: ['c1', 'c2']});
  observe('/new/', 'absent', 18_500);
  assert.deepEqual(rules(), []);
  observe('/new/', 'absent', 18_501);
  assert.deepEqual(rules(), ['LATE']);
});

test('a process that goes back is reported, a restarted one is not', () => {
  const {observe, rules} = createBench();
  observe('/new/', 'guarded', 10_000);
  observe('/new/', 'absent', 10_200);
  observe('/new/', 'absent', 10_300, 2);
  assert.deepEqual(rules(), []);
  observe('/new/', 'absent', 10_300);
  assert.deepEqual(rules(), ['REGRESS']);
});

test('a service to which no version sends a route is reported', () => {
  const {observe, rules} = createBench();
  observe('/new/', 'unguarded', 10_000);
  assert.deepEqual(rules(), ['NEVER']);
});

test('an older configuration that is read is reported, also unstable', () => {
  const {history, disruptions, first, second, rules} = createBench();
  disruptions.add(12_000, 'suspend', {cores: ['c1', 'c2', 'c3']});
  history.checkRead('c1', first.toBody(), 12_500);
  history.checkRead('c1', second.toBody(), 12_501);
  assert.deepEqual(rules(), []);
  history.checkRead('c1', first.toBody(), 12_501);
  assert.deepEqual(rules(), ['OLDER']);
});

test('other content under a version is reported', () => {
  const {history, second, rules} = createBench();
  const {routes} = second;
  const other = new OperatorConfig(2, routes, second.timeoutMs + 1);
  history.checkRead('c1', other.toBody(), 10_000);
  assert.deepEqual(rules(), ['CONTENT']);
});

test('an invalid configuration that is read is reported apart', () => {
  const {history, second, rules} = createBench();
  const body = InvalidBody['incomplete']!(second.toBody());
  history.addInvalid(3, body.replace('"version":2', '"version":3'));
  const invalid = JSON.parse(body) as {version: number};
  history.checkRead('c1', {...invalid, version: 3}, 10_000);
  assert.deepEqual([...history.invalidInForce], [3]);
  assert.deepEqual(rules(), []);
});
