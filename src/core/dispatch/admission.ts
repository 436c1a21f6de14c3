/** Whether a job may join the queue. */
export type Admission =
  | {readonly admitted: true}
  | {
      readonly admitted: false;
      readonly detail: string;
      /** Milliseconds after which a new try is sensible. */
      readonly retryAfterMs: number;
    };
