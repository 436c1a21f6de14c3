import * as v from 'valibot';
import {WorkerLoss} from '../crashes/worker_loss.js';
import {PoolAnswer} from '../job/pool_answer.js';
import {JobReferral} from '../lending/job_referral.js';
import {Room} from '../lending/room.js';
import {WorkerReport} from '../registry/worker_report.js';
import {ZoneFallbacks} from '../registry/zone_fallbacks.js';
import {ZoneGrant} from '../zones/zone_grant.js';

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
        /** Zone of a holder. */
        zone: v.optional(v.string()),
        /** Token under which the dispatcher began, unless the term's first. */
        firstToken: v.optional(count),
        /** The only zone that a dispatcher of the leader has served. */
        soleZone: v.optional(v.string()),
        /** Zones that the leader has granted; it dispatches the others. */
        grants: v.optional(v.array(ZoneGrant)),
        /** Zones that the leader neither dispatches nor grants. */
        unserved: v.optional(ids),
        /** Whether the leader lacks the recent confirmation of a majority. */
        isUnconfirmed: v.optional(v.boolean()),
        /** What the holder offers to each of the others, to core nodes only. */
        room: v.optional(Room.schema),
        reportAddress: v.optional(v.string()),
        revision: count,
        version: v.optional(count),
        /** When the claim was stated, on the sender's clock. */
        statedAt: v.optional(v.number()),
      }),
    ),
    /** Highest fencing token of the sender's zone; older nodes omit it. */
    zoneToken: v.optional(count),
    /** Start time of the process of a core node. */
    startedAt: v.optional(v.number()),
    /** When the message was stated, on the sender's elapsed time. */
    statedAt: v.optional(v.number()),
    /** Whether the sender knows claims by zone; older nodes do not. */
    isZoned: v.optional(v.boolean(), false),
    /** Whether an entry node has contact with the dispatcher of its zone. */
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
  poll: v.object({
    ids,
    /** `statedAt` of the last claim that the entry node has received. */
    claimStatedAt: v.optional(v.number()),
  }),
  /**
   * Jobs that were submitted without proof that the entry node holds them; it polls
   * for those that it still holds, with this `claimStatedAt`.
   */
  confirm: v.object({ids, claimStatedAt: v.number()}),
  /** Jobs of a poll that the dispatcher does not know. */
  unknown: v.object({ids}),
  drop: v.object({id: v.string(), reason: v.string()}),
  /** Jobs that were cancelled; copies of their requests must start nothing. */
  cancelled: v.object({ids}),
  /** Jobs of a stopping entry node, to refuse those that have not run. */
  release: v.object({ids, reason: v.string()}),
  /** Jobs that may have run, and whose callers may send them again anywhere. */
  unclear: v.object({ids}),
  answer: v.object({
    id: v.string(),
    answer: PoolAnswer,
    /** `request` of the submission that is answered; older nodes omit it. */
    request: v.optional(count),
  }),
  /**
   * Tells the entry node of a job to submit it to the dispatcher of another zone;
   * the sender has started nothing of it and forgets it.
   */
  redirect: v.object({id: v.string(), ...JobReferral.entries}),
  /** Workers that were lost under tasks of a job, for its resubmission. */
  losses: v.object({id: v.string(), losses: v.array(WorkerLoss)}),
  /** Reports of workers, replicated to nodes that may dispatch next. */
  book: v.object({
    reports: v.array(WorkerReport),
    isWhole: v.boolean(),
    /** Rank of the receiving entry node among the fallbacks of its zone. */
    rank: v.optional(v.pipe(count, v.maxValue(ZoneFallbacks.MAX - 1))),
  }),
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
