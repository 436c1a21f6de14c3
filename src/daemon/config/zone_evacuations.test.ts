import {assert} from 'chai';
import {Result} from 'true-myth';
import {StaticConfigSource} from '../../core/config/static_config_source.js';
import type {ChangeOutcome} from '../../core/config/state/change_outcome.js';
import type {ChangeRefusal} from '../../core/config/state/change_refusal.js';
import {ZoneEvacuations} from './zone_evacuations.js';

function createBench(result: Result<ChangeOutcome, ChangeRefusal>) {
  const initial = {version: 1, classes: {}, tenants: {}};
  const source = new StaticConfigSource(initial);
  const events: Array<Readonly<Record<string, unknown>>> = [];
  let orders = 0;
  const evacuations = new ZoneEvacuations({
    node: 'n1',
    zones: ['b', 'a', 'a'],
    config: {
      source,
      evacuate: () => {
        orders += 1;
        return Promise.resolve(result);
      },
    },
    record: (event, fields) => events.push({event, ...fields}),
  });
  return {evacuations, source, events, getOrders: () => orders};
}

test('an order is logged with the node that acknowledged it', async () => {
  const {evacuations, events} = createBench(Result.ok({version: 7}));
  const outcome = await evacuations.order('a', true);
  assert.deepEqual(outcome.unwrapOr(undefined as never), {version: 7});
  assert.deepEqual(events, [
    {
      event: 'evacuation_acknowledged',
      worker_zone: 'a',
      is_evacuated: true,
      node: 'n1',
      version: 7,
    },
  ]);
});

test('an unknown zone is refused before the log is asked', async () => {
  const {evacuations, getOrders} = createBench(Result.ok({version: 7}));
  const outcome = await evacuations.order('c', true);
  assert.isTrue(outcome.isErr && outcome.error.kind === 'not_found');
  assert.equal(getOrders(), 0);
});

test('an order that may have been made is not reported as refused', async () => {
  const {evacuations, events} = createBench(
    Result.err({
      code: 'unavailable',
      outcome: 'outcome_unknown',
      detail: 'no reply',
    }),
  );
  const outcome = await evacuations.order('a', true);
  assert.isTrue(
    outcome.isErr &&
      outcome.error.kind === 'unavailable' &&
      outcome.error.isSubmitted,
  );
  assert.propertyVal(events[0], 'event', 'evacuation_unclear');
});

// Otherwise the evacuation could never be ended.
test('an evacuated zone that left the settings can be restored', async () => {
  const {evacuations, source} = createBench(Result.ok({version: 7}));
  source.set({...source.current(), version: 2, evacuated: ['old']});
  assert.deepEqual(evacuations.list(), [
    {zone: 'a', isEvacuated: false},
    {zone: 'b', isEvacuated: false},
    {zone: 'old', isEvacuated: true},
  ]);
  assert.isTrue((await evacuations.order('old', false)).isOk);
});
