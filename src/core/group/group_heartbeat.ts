import * as v from 'valibot';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/**
 * Validator of a leader's heartbeat to a member that holds its complete log:
 * `[epoch, commit index, trim index]`. Most messages between members are
 * heartbeats, so they are arrays without keys to keep them small.
 */
export const GroupHeartbeat = v.tuple([count, count, count]);

/** Heartbeat of a leader. */
export type GroupHeartbeat = Readonly<v.InferOutput<typeof GroupHeartbeat>>;
