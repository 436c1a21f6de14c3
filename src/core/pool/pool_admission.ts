interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Bounds the memory for jobs. */
const MAX_JOBS = 2_000;

/** Decides which jobs are taken. */
export class PoolAdmission {
  /**
   * A refusal, or undefined if the job is taken. While workers may still come,
   * jobs wait for them.
   */
  check(
    openJobs: number,
    workers: number,
    mayWorkersCome: boolean,
  ): Refusal | undefined {
    if (workers === 0 && !mayWorkersCome) {
      return {reason: 'no_workers', retryAfterMs: 1_000};
    }
    if (openJobs >= MAX_JOBS) return {reason: 'too_many', retryAfterMs: 1_000};
    return undefined;
  }
}
