import * as v from 'valibot';

/** Validator of the loss of a worker process under a task. */
export const WorkerLoss = v.object({
  /** Name of the task that the worker may have run. */
  task: v.string(),
  worker: v.string(),
  address: v.string(),
  /** Start time of the process, in ms since the Unix epoch. */
  bornAt: v.number(),
  /** Whether the worker has confirmed the start; the order may have been lost. */
  hasStarted: v.boolean(),
  /** Whether the process has crashed; otherwise it may have been cut off. */
  isCrashed: v.boolean(),
});

/** Loss of a worker process under a task. */
export type WorkerLoss = Readonly<v.InferOutput<typeof WorkerLoss>>;
