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
/** Time after which a request to a suspended daemon counts as lost. */
const REQUEST_TIMEOUT_MS = 9_000;
const CANCEL_SHARE = 0.3;
const OTHER_BODY_SHARE = 0.1;
const REPEATABLE_SHARE = 0.3;

interface ClientOptions {
  readonly cluster: LocalCluster;
  readonly random: SeededRandom;
  readonly requests: OpenRequests;
  readonly history: ProcessHistory;
  /** Name of a class whose tasks may be retried. */
  readonly repeatableClass: string;
}

interface Job {
  readonly key: string;
  readonly repeatable: boolean;
  readonly tasks: readonly number[];
  isAccepted: boolean;
  /** First final answer, if there is one. */
  answer: JobAnswer | undefined;
  /** Whether a refusal was final, so that the key never runs. */
  isRejected: boolean;
}

/** Runs one job after another and sends each request to a random daemon. */
export class JobClient {
  readonly jobs: Job[] = [];
  private isStopped = false;

  constructor(private readonly opts: ClientOptions) {}

  /** Resolves after `stop`, once the last job has its final answer. */
  async run(): Promise<void> {
    while (!this.isStopped) await this.runJob(this.createJob());
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Fetches every answer again from a random daemon. */
  async refetchAnswers(): Promise<void> {
    for (const job of this.jobs) {
      if (job.answer) await this.request(job, 'GET');
    }
  }

  private createJob(): Job {
    const {random, cluster} = this.opts;
    const zones = [...new Set([...cluster.nodes.values()].map(n => n.zone))];
    const count = random.integerBetween(1, MAX_TASKS);
    const job: Job = {
      key: `${zones[random.integerBelow(zones.length)]}~${uuidv7()}`,
      repeatable: random.next() < REPEATABLE_SHARE,
      tasks: Array.from({length: count}, () =>
        random.integerBetween(MIN_TASK_MS, MAX_TASK_MS),
      ),
      isAccepted: false,
      answer: undefined,
      isRejected: false,
    };
    this.jobs.push(job);
    return job;
  }

  private async runJob(job: Job): Promise<void> {
    const {random} = this.opts;
    while (!job.answer && !job.isRejected) {
      if (!job.isAccepted) {
        if (!(await this.submit(job, 'first'))) await sleep(RETRY_MS);
        continue;
      }
      const draw = random.next();
      if (draw < CANCEL_SHARE) await this.request(job, 'DELETE');
      else if (draw < CANCEL_SHARE + OTHER_BODY_SHARE) {
        await this.submit(job, 'second');
      } else if (draw < 0.7) await this.submit(job, 'first');
      else await this.request(job, 'GET');
      if (!job.answer) await sleep(RETRY_MS / 10);
    }
    if (job.answer) await this.request(job, 'GET');
  }

  /** Whether the submission was accepted or finally refused. */
  private async submit(job: Job, body: string): Promise<boolean> {
    const {history, repeatableClass} = this.opts;
    const {key, repeatable, tasks} = job;
    const recordResponse = history.recordSubmission({
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
      recordResponse();
      job.isAccepted = true;
      this.recordAnswer(job, reply);
      return true;
    }
    const refusal = reply.body as unknown as Refusal;
    // With an unknown outcome, the submission may have been accepted.
    if (refusal.outcome !== 'not_run') return this.updateRejected(job, refusal);
    recordResponse(refusal);
    return body === 'first' && this.updateRejected(job, refusal);
  }

  private async request(job: Job, method: 'GET' | 'DELETE'): Promise<void> {
    const {history, random} = this.opts;
    if (method === 'DELETE') history.recordCancel(job.key);
    const wait =
      method === 'GET' ? `?wait_ms=${random.integerBelow(MAX_WAIT_MS)}` : '';
    const path = `/v1/jobs/${job.key}${wait}`;
    const reply = await this.send(method, path);
    if (!reply) return;
    if (isAnswer(reply)) this.recordAnswer(job, reply);
    else this.updateRejected(job, reply.body as unknown as Refusal);
  }

  /**
   * Marks the job as rejected if its key can never run. An accepted job keeps
   * its answer until after its key has expired, so no refusal hides it.
   */
  private updateRejected(job: Job, {code}: Refusal): boolean {
    job.isRejected ||= code === 'expired' || code === 'unplaceable';
    return job.isRejected;
  }

  private recordAnswer(job: Job, reply: HttpReply): void {
    const answer = reply.body as unknown as JobAnswer;
    this.opts.history.recordAnswer(job.key, answer);
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
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
  }
}

function isAnswer({status}: HttpReply): boolean {
  return status === 200 || status === 202;
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
