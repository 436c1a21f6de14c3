import * as v from 'valibot';
import {WorkerReport} from './worker_report.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of the answer to a request for the list of a dispatcher's workers. */
export const WorkerListChanges = v.object({
  term: count,
  /** Zone of a holder; absent for the leader. */
  zone: v.optional(v.string()),
  /** Token under which the dispatcher was opened, and the present one. */
  firstToken: count,
  token: count,
  /** Version that the changes apply to; 0 if they are the whole list. */
  since: count,
  version: count,
  /** Whether the dispatcher waits for confirmations of the receiver. */
  isHeld: v.boolean(),
  /** Whether all runs of earlier dispatchers are on listed workers or over. */
  isComplete: v.boolean(),
  reports: v.array(WorkerReport),
  removed: v.array(v.string()),
});

/** Workers that a dispatcher has begun or ceased to use. */
export type WorkerListChanges = Readonly<
  v.InferOutput<typeof WorkerListChanges>
>;
