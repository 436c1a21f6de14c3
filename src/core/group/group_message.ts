import * as v from 'valibot';
import type {JobRecord} from '../job/job_record.js';
import {GroupEntry} from './group_entry.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

const header = {
  /** Highest epoch of the sender, or the epoch that it asks for. */
  epoch: count,
  /** Epoch in which the sender's group formed; 0 without memory. */
  group: count,
  /** Whether the sender knows that its group formed by a majority. */
  settled: v.boolean(),
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
  /** Full members as [node, incarnation]. */
  members: v.array(v.tuple([v.string(), count])),
  records: v.array(record),
});

/** Validator of a message between two members of a group. */
export const GroupMessage = v.variant('type', [
  v.object({
    type: v.literal('append'),
    ...header,
    prevIndex: count,
    prevEpoch: count,
    entries,
    commit: count,
    /** Every full member holds the entries up to this index. */
    trim: count,
  }),
  v.object({type: v.literal('install'), ...header, snapshot}),
  v.object({
    type: v.literal('ack'),
    ...header,
    ok: v.boolean(),
    /** Last index that matches the leader's log; a hint when not `ok`. */
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
  v.object({type: v.literal('form'), ...header, pre: v.boolean()}),
  v.object({
    type: v.literal('ballot'),
    ...header,
    /** The epoch that was asked for. */
    round: count,
    pre: v.boolean(),
    granted: v.boolean(),
    /** For a candidate that lacks entries that are already trimmed. */
    snapshot: v.optional(snapshot),
    /** What the candidate's log lacks after its commit index. */
    missing: v.optional(entries),
  }),
  v.object({type: v.literal('handover'), ...header}),
]);

/** A message between two members of a group. */
export type GroupMessage = Readonly<v.InferOutput<typeof GroupMessage>>;
