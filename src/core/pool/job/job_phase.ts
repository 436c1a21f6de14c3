/** Phases of a job from its arrival at an entry node. */
export const JobPhase = {
  /** Until the dispatcher that answers it has received it. */
  submit: 'submit',
  /** Until its first task is started. */
  queue: 'queue',
  /** Until all tasks are done. */
  run: 'run',
} as const;

/** Phases of a job from its arrival at an entry node. */
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];
