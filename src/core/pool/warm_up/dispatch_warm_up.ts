import {SteppedClock} from '../../clock/stepped_clock.js';
import {RoutingTable} from '../../routing/routing_table.js';
import {PoolDispatcher} from '../dispatcher/pool_dispatcher.js';
import type {PoolSubmission} from '../job/pool_submission.js';
import {WorkerRegistry} from '../registry/worker_registry.js';
import {InstantWorkerClient} from './instant_worker_client.js';

const WORKERS = 40;
const TASKS_PER_JOB = 4;
/** Keeps a slice to a few milliseconds. */
const JOBS_PER_SLICE = 6;
/** Enough for the JavaScript engine to compile the dispatch path. */
const SLICES = 60;
const RUN_MS = 20;
const LEASE_MS = 600;
const QUEUE = 'warm-up';
const SERVICE = 'warm-up';

/**
 * Runs synthetic jobs through a separate dispatcher, so that the JavaScript
 * engine has compiled the code before this node becomes leader. Otherwise the
 * first seconds of a term, when all open jobs wait, would be the slowest.
 */
export class DispatchWarmUp {
  private readonly clock = new SteppedClock(0);
  private readonly dispatcher: PoolDispatcher;
  private slices = 0;
  private jobs = 0;
  private answered = 0;

  constructor() {
    const {clock} = this;
    const noop = () => undefined;
    this.dispatcher = new PoolDispatcher({
      clock,
      client: new InstantWorkerClient(clock, RUN_MS),
      registry: createRegistry(WORKERS),
      token: 1,
      leaseMs: LEASE_MS,
      earlierLeasesMs: 0,
      isRegistryComplete: true,
      maySendOrders: () => true,
      routing: () => TABLE,
      answer: () => (this.answered += 1),
      reportLosses: noop,
      observer: {
        recordJobEvent: noop,
        recordStateChange: noop,
        recordResponseTime: noop,
        recordPhase: noop,
        incrementCounter: noop,
      },
    });
  }

  get isOver(): boolean {
    return this.slices >= SLICES;
  }

  /** Number of answered jobs. */
  get completed(): number {
    return this.answered;
  }

  /** Runs one slice. */
  async step(): Promise<void> {
    this.slices += 1;
    for (let n = 0; n < JOBS_PER_SLICE; n += 1) {
      this.jobs += 1;
      this.dispatcher.submit('', createSubmission(this.jobs));
    }
    for (let ms = 0; ms < RUN_MS; ms += 2) {
      this.clock.advance(2);
      // Lets the replies of the workers arrive.
      await Promise.resolve();
      await Promise.resolve();
      this.dispatcher.tick(this.clock.now());
    }
    if (this.isOver) this.dispatcher.close();
  }
}

function createRegistry(workers: number): WorkerRegistry {
  const registry = new WorkerRegistry();
  for (let n = 0; n < workers; n += 1) {
    const report = {
      id: `warm-up-${n}`,
      bornAt: 1,
      service: SERVICE,
      address: '',
      zone: '',
      isDraining: false,
      capacity: {cpu: 2_000, memoryMb: 2_000, accelerators: 0},
      labels: [],
      sequence: 1,
    };
    registry.update(report, 0);
  }
  return registry;
}

function createSubmission(number: number): PoolSubmission {
  const id = String(number);
  const demand = {cpu: 1_000, memoryMb: 1, accelerators: 0};
  const step = {count: TASKS_PER_JOB, demand, estimatedMs: RUN_MS, after: []};
  return {
    host: '',
    path: `/${id}`,
    job: {id, payload: '', steps: [step]},
    waitedMs: 0,
    patienceMs: 10_000,
  };
}

const TABLE = new RoutingTable({
  revision: 1,
  queues: [
    {
      name: QUEUE,
      host: '',
      prefix: '/',
      service: SERVICE,
      targetMs: 100,
      stretch: 2,
      priority: 0,
      maxAttempts: 3,
      needsAdvice: false,
    },
  ],
  services: [{name: SERVICE, guardsCapacity: true}],
});
