import * as v from 'valibot';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Validator of the reply to a heartbeat: `[epoch, incarnation]`. */
export const GroupHeartbeatReply = v.tuple([count, count]);

/** Reply to a heartbeat. */
export type GroupHeartbeatReply = Readonly<
  v.InferOutput<typeof GroupHeartbeatReply>
>;
