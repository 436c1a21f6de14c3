import * as v from 'valibot';

/** Validator of a member of the log. */
export const LogMemberId = v.object({
  /** Id of the daemon in the settings. */
  node: v.pipe(v.string(), v.maxLength(64)),
  /**
   * Id of the data folder, new with each empty folder. Promises are bound to
   * it, so a daemon whose disk was lost is another member.
   */
  storage: v.pipe(v.string(), v.maxLength(64)),
});

/** A member of the log: a daemon with one data folder. */
export type LogMemberId = Readonly<v.InferOutput<typeof LogMemberId>>;
