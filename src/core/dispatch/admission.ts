/** Decision on whether to queue a new job. */
export type Admission =
  | {readonly admitted: true}
  | {
      readonly admitted: false;
      readonly detail: string;
      /** Recommended delay before a retry, in ms. */
      readonly retryAfterMs: number;
    };
