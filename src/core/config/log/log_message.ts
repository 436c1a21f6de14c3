import * as v from 'valibot';
import {LogEntry} from './log_entry.js';
import {LogSnapshot} from './log_snapshot.js';

const id = v.pipe(v.string(), v.maxLength(64));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const common = {
  log: id,
  /** Storage ids; a message for another folder of the node is dropped. */
  from: id,
  to: id,
  term: count,
};

/** Validator of a message between members of the log. */
export const LogMessage = v.variant('type', [
  v.object({
    ...common,
    type: v.literal('vote'),
    /** A question without consequences, before a term is raised. */
    pre: v.boolean(),
    /** Asked on the wish of the leader, so its followers may answer. */
    transfer: v.boolean(),
    last_index: count,
    last_term: count,
  }),
  v.object({
    ...common,
    type: v.literal('vote_reply'),
    pre: v.boolean(),
    granted: v.boolean(),
    /** For how long the voter has heard no leader, in ms. */
    silent_ms: v.optional(v.number()),
  }),
  v.object({
    ...common,
    type: v.literal('append'),
    prev_index: count,
    prev_term: count,
    /** Absent in a heartbeat. */
    entries: v.optional(v.array(LogEntry)),
    commit: count,
    /** Echoed, so that the leader knows it still led when it sent this. */
    round: count,
  }),
  v.object({
    ...common,
    type: v.literal('append_reply'),
    /** False when the entry before the sent ones is missing. */
    ok: v.boolean(),
    /** Highest index that equals the leader's log and is synced. */
    match: count,
    /** Highest index that is stored, synced or not. */
    last: count,
    round: count,
  }),
  v.object({
    ...common,
    type: v.literal('snapshot'),
    snapshot: LogSnapshot,
    round: count,
  }),
  v.object({...common, type: v.literal('timeout_now')}),
]);

/** A message between members of the log. */
export type LogMessage = v.InferOutput<typeof LogMessage>;
