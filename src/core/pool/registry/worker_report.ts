import * as v from 'valibot';
import {Resources} from './resources.js';

/** Validator of the report of a worker. */
export const WorkerReport = v.object({
  id: v.string(),
  /** Start time of the process instance, in ms since the Unix epoch. */
  bornAt: v.number(),
  /** Name of the service whose tasks the worker runs. */
  service: v.string(),
  /** Host and port. */
  address: v.string(),
  zone: v.string(),
  isDraining: v.boolean(),
  capacity: Resources.schema,
  labels: v.array(v.string()),
  /** Increases with each report of a process instance. */
  sequence: v.number(),
});

/** Periodic report of a worker. */
export type WorkerReport = Readonly<v.InferOutput<typeof WorkerReport>>;
