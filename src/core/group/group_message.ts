import * as v from 'valibot';
import type {JobRecord} from '../job/job_record.js';
import {GroupEntry} from './group_entry.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

const header = {
  /** Epoch of the sender; in vote and form requests, the epoch requested. */
  epoch: count,
  /** Epoch in which the sender's group formed; 0 if the sender has no state. */
  group: count,
  /** Whether the sender knows that the formation of its group is committed. */
  settled: v.boolean(),
  /** Incarnation of the sender; changes when it restarts or loses its state. */
  incarnation: count,
};

const entries = v.array(GroupEntry);
const record = v.custom<JobRecord>(
  value => typeof value === 'object' && value !== null && 'spec' in value,
);
const snapshot = v.object({
  group: count,
  memoryStart: count,
  index: count,
  indexEpoch: count,
  /** Voters as `[node, incarnation]`. */
  members: v.array(v.tuple([v.string(), count])),
  records: v.array(record),
});

/**
 * Validator of a message between two members of a group. `append`, `install`
 * and `handover` are sent by the leader, `vote` by a candidate, `form` by a
 * member that bootstraps a group; `ack` and `ballot` are replies.
 */
export const GroupMessage = v.variant('type', [
  v.object({
    type: v.literal('append'),
    ...header,
    prevIndex: count,
    prevEpoch: count,
    entries,
    commit: count,
    /**
     * Index up to which the leader has trimmed its log, as all voters
     * hold these entries or will need a snapshot. The receiver trims as well.
     */
    trim: count,
  }),
  v.object({type: v.literal('install'), ...header, snapshot}),
  v.object({
    type: v.literal('ack'),
    ...header,
    ok: v.boolean(),
    /**
     * Last index that matches the leader's log. If not `ok`, a hint after which
     * index the leader should resume.
     */
    index: count,
  }),
  v.object({
    type: v.literal('vote'),
    ...header,
    pre: v.boolean(),
    lastIndex: count,
    lastEpoch: count,
    commit: count,
  }),
  /** Request for a grant to form a new group. */
  v.object({type: v.literal('form'), ...header, pre: v.boolean()}),
  v.object({
    type: v.literal('ballot'),
    ...header,
    /** Epoch of the vote or form request. */
    round: count,
    pre: v.boolean(),
    granted: v.boolean(),
    /** Set if entries that the candidate lacks have been trimmed. */
    snapshot: v.optional(snapshot),
    /** Entries after the candidate's commit index or after the snapshot. */
    missing: v.optional(entries),
  }),
  v.object({type: v.literal('handover'), ...header}),
]);

/** Message between two members of a group. */
export type GroupMessage = Readonly<v.InferOutput<typeof GroupMessage>>;
