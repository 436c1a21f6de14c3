import * as v from 'valibot';

/** A zone name, its separator and a UUID. */
const MAX_ID_LENGTH = 100;
const MAX_TEXT_LENGTH = 4096;

const id = v.pipe(v.string(), v.maxLength(MAX_ID_LENGTH));
const text = v.pipe(v.string(), v.maxLength(MAX_TEXT_LENGTH));

/** Validator of what a worker says about one attempt. */
export const AttemptReport = v.variant('state', [
  v.object({id, state: v.literal('running')}),
  v.object({id, state: v.literal('succeeded'), result: v.unknown()}),
  v.object({id, state: v.literal('failed'), error: text}),
  v.object({id, state: v.literal('stopped')}),
  v.object({id, state: v.literal('never_started'), reason: text}),
  /** The attempt is over, and its worker cannot tell how it ended. */
  v.object({id, state: v.literal('unknown'), reason: text}),
]);

/** The state of one attempt as its worker reports it. */
export type AttemptReport = v.InferOutput<typeof AttemptReport>;
