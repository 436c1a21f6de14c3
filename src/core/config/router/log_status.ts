import * as v from 'valibot';
import {Membership} from '../log/membership.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of `LogStatus`. */
export const LogStatus = v.object({
  /** Node that reported the status: the leader if it can be reached. */
  node: v.string(),
  role: v.picklist(['follower', 'candidate', 'leader', 'failed', 'none']),
  term: count,
  leader: v.optional(v.string()),
  commit_index: count,
  members: Membership,
  /**
   * Version in force on each node, and the age of that information in ms. Only
   * the leader receives the polls of all nodes.
   */
  in_force: v.array(
    v.object({node: v.string(), version: count, age_ms: count}),
  ),
});

/** Status of the configuration log, from the point of view of one node. */
export type LogStatus = Readonly<v.InferOutput<typeof LogStatus>>;
