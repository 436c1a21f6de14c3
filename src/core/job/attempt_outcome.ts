/** How one attempt of a task ended. */
export type AttemptOutcome =
  | {readonly kind: 'succeeded'; readonly result: unknown}
  /** The worker started the task and the task failed. */
  | {readonly kind: 'failed'; readonly error: string}
  /** The worker started the task and stopped it on request. */
  | {readonly kind: 'stopped'}
  /** The worker never started the task and never will. */
  | {readonly kind: 'never_started'; readonly reason: string}
  /** The task may have started. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** True if it may still be running; otherwise it has ended. */
      readonly mayStillRun?: boolean;
    };
