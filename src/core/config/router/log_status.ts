import * as v from 'valibot';
import {Membership} from '../log/membership.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of the state of the configuration log as one node sees it. */
export const LogStatus = v.object({
  /** Node that gave the status: the leader if one can be reached. */
  node: v.string(),
  role: v.picklist(['follower', 'candidate', 'leader', 'failed', 'none']),
  term: count,
  leader: v.optional(v.string()),
  commit_index: count,
  members: Membership,
  /**
   * Version in force at each daemon, and the age of that report in ms. Only the
   * leader hears of all.
   */
  in_force: v.array(
    v.object({node: v.string(), version: count, age_ms: count}),
  ),
});

/** The state of the configuration log as one node sees it. */
export type LogStatus = Readonly<v.InferOutput<typeof LogStatus>>;
