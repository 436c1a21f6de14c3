import * as v from 'valibot';
import {LogMemberId} from './log_member_id.js';

/** Validator of `Membership`. */
export const Membership = v.object({
  voters: v.array(LogMemberId),
  /** Members that replicate the log but do not count towards a majority. */
  learners: v.array(LogMemberId),
  /** Voter replacement in progress; any later leader continues it. */
  replacing: v.optional(v.object({old: LogMemberId, next: LogMemberId})),
});

/**
 * Members of the log. Each `members` entry adds or removes at most one voter,
 * so that the majorities before and after it have a voter in common.
 */
export type Membership = Readonly<v.InferOutput<typeof Membership>>;
