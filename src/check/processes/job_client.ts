import {v7 as uuidv7} from 'uuid';
import type {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {JobAnswer} from '../../core/job/job_answer.js';
import type {Refusal} from '../../core/job/refusal.js';
import {resultOf} from '../jobs/result_of.js';
import type {HttpReply} from './http_reply.js';
import type {OpenRequests} from './open_requests.js';
import type {ProcessHistory} from './process_history.js';
import type {TaskOrigin} from './task_origin.js';

const MAX_TASKS = 12;
const MIN_TASK_MS = 20;
const MAX_TASK_MS = 300;
const MAX_WAIT_MS = 1_500;
const RETRY_MS = 100;
/** A caller takes a request through a stopped daemon for lost after this. */
const PATIENCE_MS = 9_000;
const CANCEL_SHARE = 0.3;
const SECOND_BODY_SHARE = 0.1;
const REPEATABLE_SHARE = 0.3;

interface ClientOptions {
  readonly cluster: LocalCluster;
  readonly random: SeededRandom;
  readonly requests: OpenRequests;
  readonly history: ProcessHistory;
  /** Name of a class that allows second attempts. */
  readonly repeatableClass: string;
}

interface Job {
  readonly key: string;
  readonly repeatable: boolean;
  readonly tasks: readonly number[];
  isTaken: boolean;
  /** The final answer, once one was seen. */
  answer: JobAnswer | undefined;
  /** Set when a refusal says that the key will never be run. */
  isRefused: boolean;
}

/** Runs one job after the other, each through random daemons. */
export class JobClient {
  readonly jobs: Job[] = [];
  private isStopped = false;

  constructor(private readonly opts: ClientOptions) {}

  /** Ends when `stop` was called and the last job has its final answer. */
  async run(): Promise<void> {
    while (!this.isStopped) await this.runJob(this.newJob());
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Fetches every answer again, through a random daemon. */
  async fetchAgain(): Promise<void> {
    for (const job of this.jobs) {
      if (job.answer) await this.ask(job, 'GET');
    }
  }

  private newJob(): Job {
    const {random, cluster} = this.opts;
    const zones = [...new Set([...cluster.nodes.values()].map(n => n.zone))];
    const count = random.integerBetween(1, MAX_TASKS);
    const job: Job = {
      key: `${zones[random.integerBelow(zones.length)]}~${uuidv7()}`,
      repeatable: random.next() < REPEATABLE_SHARE,
      tasks: Array.from({length: count}, () =>
        random.integerBetween(MIN_TASK_MS, MAX_TASK_MS),
      ),
      isTaken: false,
      answer: undefined,
      isRefused: false,
    };
    this.jobs.push(job);
    return job;
  }

  private async runJob(job: Job): Promise<void> {
    const {random} = this.opts;
    while (!job.answer && !job.isRefused) {
      if (!job.isTaken) {
        if (!(await this.submit(job, 'first'))) await pause(RETRY_MS);
        continue;
      }
      const dice = random.next();
      if (dice < CANCEL_SHARE) await this.ask(job, 'DELETE');
      else if (dice < CANCEL_SHARE + SECOND_BODY_SHARE) {
        await this.submit(job, 'second');
      } else if (dice < 0.7) await this.submit(job, 'first');
      else await this.ask(job, 'GET');
      if (!job.answer) await pause(RETRY_MS / 10);
    }
    if (job.answer) await this.ask(job, 'GET');
  }

  /** Whether the submission was taken or definitely refused. */
  private async submit(job: Job, body: string): Promise<boolean> {
    const {history, repeatableClass} = this.opts;
    const {key, repeatable, tasks} = job;
    const settle = history.submitted({
      ...{key, body, repeatable, tasks: tasks.length},
    });
    const reply = await this.send('POST', '/v1/jobs', key, {
      class: repeatable ? repeatableClass : 'default',
      wait_ms: this.opts.random.integerBelow(MAX_WAIT_MS),
      tasks: tasks.map((ms, task) => {
        const origin: TaskOrigin = {key, body, task};
        const value = resultOf(key, body, task);
        return {payload: {ms, value, origin}};
      }),
    });
    if (!reply) return false;
    if (isAnswer(reply)) {
      settle();
      job.isTaken = true;
      this.answered(job, reply);
      return true;
    }
    const refusal = reply.body as unknown as Refusal;
    // An unknown outcome means that the submission may have been taken.
    if (refusal.outcome !== 'not_run') return this.isOver(job, refusal);
    settle(refusal);
    return body === 'first' && this.isOver(job, refusal);
  }

  private async ask(job: Job, method: 'GET' | 'DELETE'): Promise<void> {
    const {history, random} = this.opts;
    if (method === 'DELETE') history.cancelled(job.key);
    const wait =
      method === 'GET' ? `?wait_ms=${random.integerBelow(MAX_WAIT_MS)}` : '';
    const path = `/v1/jobs/${job.key}${wait}`;
    const reply = await this.send(method, path);
    if (!reply) return;
    if (isAnswer(reply)) this.answered(job, reply);
    else this.isOver(job, reply.body as unknown as Refusal);
  }

  /** Such a key is never run; a job that was taken keeps its answer longer. */
  private isOver(job: Job, {code}: Refusal): boolean {
    job.isRefused ||= code === 'expired' || code === 'unplaceable';
    return job.isRefused;
  }

  private answered(job: Job, reply: HttpReply): void {
    const answer = reply.body as unknown as JobAnswer;
    this.opts.history.answered(job.key, answer);
    if (answer.status !== 'running') job.answer ??= answer;
  }

  private send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    key?: string,
    body?: object,
  ): Promise<HttpReply | undefined> {
    const {cluster, random, requests} = this.opts;
    const nodes = [...cluster.nodes.values()];
    const node = nodes[random.integerBelow(nodes.length)]!;
    return requests.send({
      node: node.id,
      method,
      url: `${node.caller}${path}`,
      headers: key === undefined ? {} : {'idempotency-key': key},
      ...(body ? {body} : {}),
      limitMs: PATIENCE_MS,
    });
  }
}

function isAnswer({status}: HttpReply): boolean {
  return status === 200 || status === 202;
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
