import * as v from 'valibot';
import {WorkerLoss} from '../crashes/worker_loss.js';
import {PoolJob} from './pool_job.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const ms = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Validator of a job that an entry node submits to a dispatcher. */
export const PoolSubmission = v.object({
  host: v.string(),
  path: v.string(),
  job: PoolJob,
  /**
   * Number of the caller's request at the entry node, which the answer names: an
   * answer to an earlier one says nothing about a copy. Older nodes omit it.
   */
  request: v.optional(count),
  /** Time that the job has waited at the entry node. */
  waitedMs: ms,
  /** Time left until the deadline of the caller. */
  patienceMs: ms,
  /**
   * Time during which runs of an earlier dispatcher may still be active. They
   * are adopted, and no task of the job is started before this time is over.
   */
  settleMs: v.optional(ms, 0),
  /**
   * Fencing token of the dispatcher that had the job last. Once every worker has
   * accepted a higher one, all runs of the job are known, and it may start before
   * `settleMs`. Older nodes omit it.
   */
  earlierToken: v.optional(count),
  /**
   * Token under which the dispatcher was opened that the job is meant for. What the
   * submission says of earlier dispatchers holds for this one only: another one on
   * the node may have other workers. Older nodes omit it.
   */
  dispatcher: v.optional(count),
  /** Node of the dispatcher that had the job last, for the log. */
  earlierNode: v.optional(v.string()),
  /** Workers that earlier dispatchers lost under tasks of the job. */
  losses: v.optional(v.pipe(v.array(WorkerLoss), v.readonly()), []),
  /** `statedAt` of the last claim that the entry node has received. */
  claimStatedAt: v.optional(v.number()),
  /** Lowest configuration revision that may be used to find its queue. */
  revision: v.optional(count, 0),
  /**
   * Whether the dispatcher of another zone has moved the job here. No task of it
   * had started there, and it is not moved again.
   */
  isLent: v.optional(v.boolean(), false),
});

/** A job that an entry node submits to a dispatcher. */
export type PoolSubmission = Readonly<v.InferInput<typeof PoolSubmission>>;
