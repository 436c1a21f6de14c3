import * as v from 'valibot';

/** Validator of `LogMemberId`. */
export const LogMemberId = v.object({
  /** Node id from the settings. */
  node: v.pipe(v.string(), v.maxLength(64)),
  /**
   * Id of the data folder, generated for each empty folder. Votes and
   * acknowledgements are bound to it: a node that has lost its disk has
   * forgotten them, and therefore counts as a different member.
   */
  storage: v.pipe(v.string(), v.maxLength(64)),
});

/** Identifies a member of the log: a node together with its data folder. */
export type LogMemberId = Readonly<v.InferOutput<typeof LogMemberId>>;
