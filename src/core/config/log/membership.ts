import * as v from 'valibot';
import {LogMemberId} from './log_member_id.js';

/** Validator of the members of the log. */
export const Membership = v.object({
  voters: v.array(LogMemberId),
  /** Members that store the log and do not count for majorities. */
  learners: v.array(LogMemberId),
  /** A replacement under way; the leader of the day carries it on. */
  replacing: v.optional(v.object({old: LogMemberId, next: LogMemberId})),
});

/** The members of the log; one entry changes at most one voter. */
export type Membership = Readonly<v.InferOutput<typeof Membership>>;
