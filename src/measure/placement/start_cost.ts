import {SteppedClock} from '../../core/clock/stepped_clock.js';
import {PoolDispatcher} from '../../core/pool/dispatcher/pool_dispatcher.js';
import {WorkerRegistry} from '../../core/pool/registry/worker_registry.js';
import {RoutingTable} from '../../core/routing/routing_table.js';
import {SimulatedFleet} from './simulated_fleet.js';

const RUN_MS = 200;
const STEP_MS = 1;
const TURNS = 10;
const TICK_MS = 20;
const WARM_UP_MS = 2_000;
const END_MS = 6_000;
/** Places in use, as a share of all, from the arrivals. */
const LOAD = 0.85;
const START = 1_700_000_000_000;

/**
 * Processor time of a start in microseconds, at a fleet of `workers` with two
 * places each: simulation, orders and polls included.
 */
export async function startCost(workers: number): Promise<number> {
  const clock = new SteppedClock(START);
  const fleet = new SimulatedFleet(clock, () => ({
    runMs: RUN_MS,
    hasFailed: false,
  }));
  const dispatcher = createDispatcher(clock, fleet, workers);
  const jobsPerMs = (LOAD * 2 * workers) / (RUN_MS * 2);
  let due = 0;
  let jobs = 0;
  let startedAt = 0;
  let startsBefore = 0;
  for (let ms = 0; ms < END_MS; ms += STEP_MS) {
    if (ms === WARM_UP_MS) {
      startedAt = performance.now();
      startsBefore = fleet.starts;
    }
    clock.advance(STEP_MS);
    for (let turn = 0; turn < TURNS; turn += 1) await Promise.resolve();
    if (ms % TICK_MS === 0) dispatcher.tick(clock.now());
    for (due += jobsPerMs * STEP_MS; due >= 1; due -= 1) {
      jobs += 1;
      submit(dispatcher, `j${jobs}`);
    }
  }
  const tookMs = performance.now() - startedAt;
  return (tookMs * 1_000) / (fleet.starts - startsBefore);
}

function createDispatcher(
  clock: SteppedClock,
  client: SimulatedFleet,
  workers: number,
): PoolDispatcher {
  const registry = new WorkerRegistry();
  const capacity = {cpu: 16_000, memoryMb: 64_000, accelerators: 0};
  for (let n = 0; n < workers; n += 1) {
    const report = {
      id: `w${n}`,
      bornAt: 1,
      service: 'svc',
      address: `w${n}`,
      zone: 'z',
      isDraining: false,
      capacity,
      labels: [],
      sequence: 1,
    };
    registry.update(report, START);
  }
  const noop = () => undefined;
  return new PoolDispatcher({
    clock,
    client,
    registry,
    token: 1_000,
    leaseMs: 600,
    earlierLeasesMs: 0,
    isRegistryComplete: true,
    maySendOrders: () => true,
    routing: () => TABLE,
    answer: noop,
    reportLosses: noop,
    observer: {
      recordJobEvent: noop,
      recordStateChange: noop,
      recordResponseTime: noop,
      incrementCounter: noop,
    },
  });
}

function submit(dispatcher: PoolDispatcher, id: string): void {
  const demand = {cpu: 8_000, memoryMb: 1, accelerators: 0};
  const step = {count: 2, demand, estimatedMs: RUN_MS, after: []};
  dispatcher.submit('e', {
    host: 'h',
    path: `/q/${id}`,
    job: {id, payload: '', steps: [step]},
    waitedMs: 0,
    patienceMs: 5_000,
  });
}

const TABLE = new RoutingTable({
  revision: 1,
  queues: [
    {
      name: 'q',
      host: 'h',
      prefix: '/q/',
      service: 'svc',
      targetMs: 60,
      stretch: 1.6,
      priority: 0,
      maxAttempts: 3,
      needsAdvice: false,
    },
  ],
  services: [{name: 'svc', guardsCapacity: true}],
});
