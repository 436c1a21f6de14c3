import * as v from 'valibot';
import {Resources} from './resources.js';

/** Validator of what a worker says about itself. */
export const WorkerReport = v.object({
  id: v.string(),
  /** When this life of the worker began, in ms since the Unix epoch. */
  bornAt: v.number(),
  /** Name of the service whose tasks it runs. */
  service: v.string(),
  /** Host and port. */
  address: v.string(),
  zone: v.string(),
  isDraining: v.boolean(),
  capacity: Resources.schema,
  labels: v.array(v.string()),
  /** Grows with each report of one life. */
  sequence: v.number(),
});

/** What a worker says about itself. */
export type WorkerReport = Readonly<v.InferOutput<typeof WorkerReport>>;
