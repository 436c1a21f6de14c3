import type {PoolAnswer} from '../../../src/core/pool/job/pool_answer.js';
import type {PoolObserver} from '../../../src/core/pool/pool_observer.js';
import type {FakePoolWorker} from './fake_pool_worker.js';
import type {FakeWorkerClient} from './fake_worker_client.js';

interface Event {
  readonly at: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** An order to start or stop a run, as a node has sent it. */
interface Order {
  readonly at: number;
  readonly node: string;
  readonly call: 'start' | 'stop';
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly token: number;
  /** `ok`, or what happened to the order on its way. */
  readonly fault: string;
}

/** What happened to the jobs of a deployment, with times since its start. */
export class DeploymentLog {
  readonly events: Event[] = [];
  readonly orders: Order[] = [];
  /** Answers that the callers of each job received. */
  readonly answers = new Map<string, Array<PoolAnswer & {at: number}>>();
  /** Times of the last requests of jobs, and of the first ones. */
  readonly submittedAt = new Map<string, number>();
  readonly firstSubmittedAt = new Map<string, number>();

  constructor(private readonly workers: ReadonlyMap<string, FakePoolWorker>) {}

  /** Creates an observer that records the events of a node. */
  createObserver(node: string, now: () => number): PoolObserver {
    const record = (event: string, fields: object) =>
      this.events.push({at: now(), node, event, fields: {...fields}});
    return {
      recordJobEvent: (event, job, fields) => record(event, {job, ...fields}),
      recordStateChange: record,
      recordResponseTime: () => undefined,
      recordPhase: () => undefined,
      incrementCounter: () => undefined,
    };
  }

  /** Creates a listener that records the orders of a node to workers. */
  createOrderListener(
    node: string,
    now: () => number,
  ): FakeWorkerClient['onOrder'] {
    return (call, worker, {task, run, token}, faultOrOk) => {
      const fault = typeof faultOrOk === 'string' ? faultOrOk : 'late';
      this.orders.push({
        at: now(),
        node,
        call,
        worker,
        task,
        run,
        token,
        fault,
      });
    };
  }

  recordSubmit(job: string, entry: string, at: number): void {
    if (!this.answers.has(job)) {
      this.answers.set(job, []);
      this.firstSubmittedAt.set(job, at);
    }
    this.submittedAt.set(job, at);
    this.recordRequest('request_sent', job, entry, at);
  }

  recordAnswer(job: string, entry: string, answer: PoolAnswer, at: number) {
    this.answers.get(job)!.push({...answer, at});
    this.recordRequest('request_answered', job, entry, at, {kind: answer.kind});
  }

  /** Records that a request ended without an answer. */
  recordRequestEnd(job: string, entry: string, at: number): void {
    this.recordRequest('request_ended', job, entry, at);
  }

  private recordRequest(
    event: string,
    job: string,
    node: string,
    at: number,
    fields = {},
  ): void {
    this.events.push({at, node, event, fields: {job, ...fields}});
  }

  answerOf(id: string): PoolAnswer['kind'] | undefined {
    return this.answers.get(id)?.at(-1)?.kind;
  }

  /** Longest time without a completed job at the entry nodes of a zone. */
  longestGap(zone: string, from: number, to: number): number {
    const times = [...this.answers]
      .filter(([id]) => id.startsWith(`${zone}e`))
      .flatMap(([, answers]) => answers)
      .filter(({kind, at}) => kind === 'completed' && at >= from && at <= to)
      .map(({at}) => at)
      .sort((a, b) => a - b);
    const bounds = [from, ...times];
    return Math.max(...bounds.slice(1).map((at, n) => at - bounds[n]!));
  }

  /** Ids of the jobs submitted since `from` whose last answer is of a kind. */
  jobsWith(kind: PoolAnswer['kind'] | undefined, from = 0): string[] {
    return [...this.submittedAt]
      .filter(([id, at]) => at >= from && this.answerOf(id) === kind)
      .map(([id]) => id);
  }

  /** Tasks of which two runs overlapped in time. */
  overlaps(): string[] {
    const byTask = new Map<string, Array<{from: number; to: number}>>();
    for (const worker of this.workers.values()) {
      worker.processDueEnds();
      for (const run of worker.history) {
        const runs = byTask.get(run.task) ?? [];
        runs.push(run);
        byTask.set(run.task, runs);
      }
    }
    const isOverlap = (runs: Array<{from: number; to: number}>) => {
      runs.sort((a, b) => a.from - b.from);
      return runs.some((run, n) => n > 0 && run.from < runs[n - 1]!.to);
    };
    return [...byTask].filter(([, r]) => isOverlap(r)).map(([task]) => task);
  }

  /** Number of events of a kind since a time. */
  count(event: string, since = 0): number {
    return this.events.filter(e => e.event === event && e.at >= since).length;
  }
}
