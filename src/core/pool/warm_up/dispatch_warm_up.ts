import {SteppedClock} from '../../clock/stepped_clock.js';
import {RoutingTable} from '../../routing/routing_table.js';
import {PoolDispatcher} from '../pool_dispatcher.js';
import type {PoolSubmission} from '../pool_submission.js';
import {WorkerBook} from '../worker_book.js';
import {InstantWorkerClient} from './instant_worker_client.js';

const WORKERS = 40;
const TASKS_PER_JOB = 4;
/** Jobs of one slice; a slice takes a few milliseconds. */
const JOBS_PER_SLICE = 6;
/** Enough for the engine to compile the paths that a lead takes. */
const SLICES = 60;
const RUN_MS = 20;
const LEASE_MS = 600;
const QUEUE = 'warm-up';
const SERVICE = 'warm-up';

/**
 * Puts made-up jobs through a dispatcher of its own, so that the engine has
 * compiled the code before this node leads: the first seconds of a lead would
 * otherwise be its slowest, with all open jobs waiting.
 */
export class DispatchWarmUp {
  private readonly clock = new SteppedClock(0);
  private readonly dispatcher: PoolDispatcher;
  private slices = 0;
  private jobs = 0;
  private answered = 0;

  constructor() {
    const {clock} = this;
    const nothing = () => undefined;
    this.dispatcher = new PoolDispatcher({
      clock,
      client: new InstantWorkerClient(clock, RUN_MS),
      book: bookOf(WORKERS),
      token: 1,
      leaseMs: LEASE_MS,
      earlierLeasesMs: 0,
      isBookComplete: true,
      mayOrder: () => true,
      routing: () => TABLE,
      answer: () => (this.answered += 1),
      observer: {
        recordJobEvent: nothing,
        recordStateChange: nothing,
        recordResponseTime: nothing,
        incrementCounter: nothing,
      },
    });
  }

  get isOver(): boolean {
    return this.slices >= SLICES;
  }

  /** Jobs that it has put through. */
  get completed(): number {
    return this.answered;
  }

  /** Does one slice. */
  async step(): Promise<void> {
    this.slices += 1;
    for (let n = 0; n < JOBS_PER_SLICE; n += 1) {
      this.jobs += 1;
      this.dispatcher.submit('', submissionOf(this.jobs));
    }
    for (let ms = 0; ms < RUN_MS; ms += 2) {
      this.clock.advance(2);
      // Answers of workers arrive between the steps.
      await Promise.resolve();
      await Promise.resolve();
      this.dispatcher.tick(this.clock.now());
    }
    if (this.isOver) this.dispatcher.close();
  }
}

function bookOf(workers: number): WorkerBook {
  const book = new WorkerBook();
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
    book.note(report, 0);
  }
  return book;
}

function submissionOf(number: number): PoolSubmission {
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
