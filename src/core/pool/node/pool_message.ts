import * as v from 'valibot';
import {WorkerLoss} from '../crashes/worker_loss.js';
import {PoolAnswer} from '../job/pool_answer.js';
import {WorkerReport} from '../registry/worker_report.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const ids = v.array(v.string());

/** Validators of the messages between entry and core nodes, by kind. */
export const PoolMessage = {
  /** Periodic announcement of a node, with the other nodes it has seen. */
  presence: v.object({
    role: v.picklist(['entry', 'core']),
    /** Availability zone of the sender. */
    zone: v.optional(v.string()),
    cores: ids,
    /** Entry nodes that the sender has seen. */
    entries: v.optional(ids, []),
    /** Highest fencing token known to the sender. */
    highestToken: v.optional(count, 0),
    /** The sender's claim to dispatch; absent if it does not dispatch. */
    lead: v.optional(
      v.object({
        term: count,
        token: count,
        isFallback: v.boolean(),
        reportAddress: v.optional(v.string()),
        revision: count,
      }),
    ),
    /** Whether an entry node has contact with the leader of the log. */
    hasLead: v.optional(v.boolean(), false),
    /** Whether the sender relays orders to workers. */
    relays: v.optional(v.boolean(), false),
    /** Whether an entry node can act as fallback dispatcher of its zone. */
    mayFallBack: v.optional(v.boolean(), false),
    /** Pressure of an entry node, from 0 to 1; see NodePressure. */
    pressure: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1))),
    /** Whether an entry node is withdrawn because of its pressure. */
    isRelieved: v.optional(v.boolean(), false),
  }),
  /** Open jobs of an entry node, to ask for their answers. */
  poll: v.object({ids}),
  /** Jobs of a poll that the dispatcher does not know. */
  unknown: v.object({ids}),
  drop: v.object({id: v.string(), reason: v.string()}),
  answer: v.object({id: v.string(), answer: PoolAnswer}),
  /** Workers that were lost under tasks of a job, for its resubmission. */
  losses: v.object({id: v.string(), losses: v.array(WorkerLoss)}),
  /** Jobs that a dispatcher has started, for its successor; see StartHistory. */
  starts: v.object({
    token: count,
    number: count,
    jobs: ids,
    workers: count,
    isSettled: v.boolean(),
    isAwaited: v.boolean(),
  }),
  /** Confirms that a message `pool.starts` was recorded. */
  started: v.object({token: count, number: count}),
  /** Reports of workers, replicated to nodes that may dispatch next. */
  book: v.object({reports: v.array(WorkerReport), isWhole: v.boolean()}),
  /** Reports without news that another core node has taken. */
  reports: v.object({reports: v.array(WorkerReport)}),
  left: v.object({
    id: v.string(),
    /** Start time of the process instance that leaves, if known. */
    bornAt: v.optional(v.pipe(v.number(), v.safeInteger())),
  }),
  ask: v.variant('kind', [
    v.object({kind: v.literal('cancel'), path: v.string(), id: v.string()}),
    v.object({kind: v.literal('state'), id: v.string()}),
    v.object({
      kind: v.literal('pending'),
      host: v.string(),
      path: v.string(),
    }),
  ]),
};
