import * as v from 'valibot';
import {isValueDeeperThan} from '../job/is_value_deeper_than.js';

/** Fits a zone name, a separator and a UUID. */
const MAX_ID_LENGTH = 100;
const MAX_TEXT_LENGTH = 4096;
/** Same limit as for payloads; recursive encoders would exhaust the stack. */
const MAX_RESULT_DEPTH = 64;

const id = v.pipe(v.string(), v.maxLength(MAX_ID_LENGTH));
const text = v.pipe(v.string(), v.maxLength(MAX_TEXT_LENGTH));

const Report = v.variant('state', [
  v.object({id, state: v.literal('running')}),
  v.object({id, state: v.literal('succeeded'), result: v.unknown()}),
  v.object({id, state: v.literal('failed'), error: text}),
  v.object({id, state: v.literal('stopped')}),
  v.object({id, state: v.literal('never_started'), reason: text}),
  /** The attempt has ended, but the worker does not know its outcome. */
  v.object({id, state: v.literal('unknown'), reason: text}),
]);

/**
 * Validator of a worker's report of one attempt. A result that is nested too
 * deeply to encode turns into a failure, because the task has run.
 */
export const AttemptReport = v.pipe(
  Report,
  v.transform((report): v.InferOutput<typeof Report> => {
    if (report.state !== 'succeeded') return report;
    if (!isValueDeeperThan(report.result, MAX_RESULT_DEPTH)) return report;
    const error = `the result is nested deeper than ${MAX_RESULT_DEPTH} levels`;
    return {id: report.id, state: 'failed', error};
  }),
);

/** State of one attempt as reported by its worker. */
export type AttemptReport = v.InferOutput<typeof AttemptReport>;
