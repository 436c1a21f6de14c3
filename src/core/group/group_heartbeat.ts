import * as v from 'valibot';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/**
 * Validator of a leader's heartbeat to a member that holds its whole log:
 * epoch, commit index and trim index. Most control messages are heartbeats, so
 * they carry no names.
 */
export const GroupHeartbeat = v.tuple([count, count, count]);

/** A leader's heartbeat. */
export type GroupHeartbeat = Readonly<v.InferOutput<typeof GroupHeartbeat>>;
