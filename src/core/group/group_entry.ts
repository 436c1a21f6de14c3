import * as v from 'valibot';
import type {JobEvent} from '../job/job_event.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Members run the same build, so only the kind of a job event is checked. */
const jobEvent = v.custom<JobEvent>(
  value =>
    typeof value === 'object' &&
    value !== null &&
    'kind' in value &&
    typeof value.kind === 'string',
);

/** Validator of one entry of a group's log. */
export const GroupEntry = v.variant('kind', [
  v.object({
    kind: v.literal('events'),
    index: count,
    epoch: count,
    events: v.array(jobEvent),
  }),
  /** First entry of each leader; has no content. */
  v.object({kind: v.literal('lead'), index: count, epoch: count}),
  /** Removes a voter. */
  v.object({
    kind: v.literal('remove'),
    index: count,
    epoch: count,
    node: v.string(),
  }),
  /** Adds a voter. */
  v.object({
    kind: v.literal('admit'),
    index: count,
    epoch: count,
    node: v.string(),
    incarnation: count,
  }),
]);

/** Entry of a group's log. */
export type GroupEntry = Readonly<v.InferOutput<typeof GroupEntry>>;
