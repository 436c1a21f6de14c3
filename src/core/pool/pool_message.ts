import * as v from 'valibot';
import {PoolAnswer} from './pool_answer.js';
import {WorkerReport} from './worker_report.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const ids = v.array(v.string());

/** Validators of the messages between entry and core nodes, by kind. */
export const PoolMessage = {
  /** A node tells that it is there, and which nodes it knows. */
  presence: v.object({
    role: v.picklist(['entry', 'core']),
    /** Availability zone of the sender. */
    zone: v.optional(v.string()),
    cores: ids,
    /** Entry nodes that the sender knows. */
    entries: v.optional(ids, []),
    /** Highest fencing token that the sender knows. */
    highestToken: v.optional(count, 0),
    /** What the sender dispatches, if it does. */
    lead: v.optional(
      v.object({
        term: count,
        token: count,
        isFallback: v.boolean(),
        reportAddress: v.optional(v.string()),
        revision: count,
      }),
    ),
    /** Whether an entry node hears the lead of the log. */
    hasLead: v.optional(v.boolean(), false),
    /** Whether an entry node carries out orders to workers. */
    relays: v.optional(v.boolean(), false),
    /** Whether an entry node could dispatch for its zone. */
    mayFallBack: v.optional(v.boolean(), false),
  }),
  /** An entry node names the jobs whose answers it waits for. */
  poll: v.object({ids}),
  /** Jobs of a poll that the lead does not know. */
  unknown: v.object({ids}),
  drop: v.object({id: v.string(), reason: v.string()}),
  answer: v.object({id: v.string(), answer: PoolAnswer}),
  /** Reports of workers, for the node that may lead next. */
  book: v.object({reports: v.array(WorkerReport), isWhole: v.boolean()}),
  left: v.object({id: v.string()}),
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
