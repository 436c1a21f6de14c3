import * as v from 'valibot';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Validator of the answer to a heartbeat: epoch and incarnation. */
export const GroupHeartbeatReply = v.tuple([count, count]);

/** The answer to a heartbeat. */
export type GroupHeartbeatReply = Readonly<
  v.InferOutput<typeof GroupHeartbeatReply>
>;
