import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import {AnswerCache} from '../job/answer_cache.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import type {PoolSubmission} from '../job/pool_submission.js';

/** Interval at which the requests of ended jobs are removed. */
const CLEANUP_INTERVAL_MS = 1_000;

interface JobAnswersOptions {
  readonly clock: Clock;
  readonly peers: PeerTransport;
}

/** Sends the answers to jobs, and keeps them in case that they are lost. */
export class JobAnswers {
  private readonly kept = new AnswerCache();
  /** Request for which each job was submitted last, by id. */
  private readonly requests = new Map<string, number>();
  private nextCleanup = 0;

  constructor(private readonly opts: JobAnswersOptions) {}

  /** Records the request that the next answers of a job are for. */
  recordRequest({job, request}: PoolSubmission): void {
    if (request === undefined) this.requests.delete(job.id);
    else this.requests.set(job.id, request);
  }

  send(owner: string, id: string, answer: PoolAnswer): void {
    const {clock, peers} = this.opts;
    const request = this.requests.get(id);
    const message = {id, answer, ...(request === undefined ? {} : {request})};
    this.kept.set(message, owner, clock.now());
    peers.send(owner, 'pool.answer', message);
  }

  /**
   * Sends a kept answer again; returns whether there is one. That a job was not run
   * holds for its entry node only: it may have run for another one since.
   */
  resend(to: string, id: string): boolean {
    const kept = this.kept.get(id);
    if (!kept) return false;
    const {message, owner} = kept;
    const {kind} = message.answer;
    const isNotRun = kind === 'refused' || kind === 'no_queue';
    if (isNotRun && owner !== to) return false;
    this.opts.peers.send(to, 'pool.answer', message);
    return true;
  }

  /** Removes the kept answer of a job that is submitted again. */
  delete(id: string): void {
    this.kept.delete(id);
  }

  clear(): void {
    this.kept.clear();
    this.requests.clear();
  }

  /** Removes old answers, and the requests of jobs that are not open. */
  expire(now: number, isOpen: (id: string) => boolean): void {
    this.kept.expire(now);
    if (now < this.nextCleanup) return;
    this.nextCleanup = now + CLEANUP_INTERVAL_MS;
    for (const id of this.requests.keys()) {
      if (!isOpen(id)) this.requests.delete(id);
    }
  }
}
