import * as v from 'valibot';
import {LogEntry} from './log_entry.js';
import {LogSnapshot} from './log_snapshot.js';

const id = v.pipe(v.string(), v.maxLength(64));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const common = {
  log: id,
  /** Storage ids; a message for an earlier folder of the node has no effect. */
  from: id,
  to: id,
  term: count,
};

/** Validator of `LogMessage`. */
export const LogMessage = v.variant('type', [
  v.object({
    ...common,
    type: v.literal('vote'),
    /** Whether this is a pre-vote, which changes no term and binds no vote. */
    pre: v.boolean(),
    /**
     * Whether the leader requested the election, to transfer leadership.
     * Members then answer despite recent contact with the leader.
     */
    transfer: v.boolean(),
    last_index: count,
    last_term: count,
  }),
  v.object({
    ...common,
    type: v.literal('vote_reply'),
    pre: v.boolean(),
    granted: v.boolean(),
    /** Time since the voter's last contact with a leader, in ms. */
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
    /**
     * Heartbeat round, echoed in the reply. Replies of a majority confirm that
     * the sender was still the leader when it sent this round.
     */
    round: count,
  }),
  v.object({
    ...common,
    type: v.literal('append_reply'),
    /** False if the entry at `prev_index` is missing or of another term. */
    ok: v.boolean(),
    /** Highest index that matches the leader's log and is synced to disk. */
    match: count,
    /**
     * Highest index that is stored, synced or not; below `prev_index` if `ok`
     * is false.
     */
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
  /**
   * Reply to a message for an earlier folder of the node, which was lost; `from` is
   * the storage id of the present one.
   */
  v.object({...common, type: v.literal('folder_lost')}),
]);

/** A message between members of the log. */
export type LogMessage = v.InferOutput<typeof LogMessage>;
