interface Refusal {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Limits the memory used by open jobs. */
const MAX_JOBS = 2_000;

/** Admission control for new jobs. */
export class PoolAdmission {
  /**
   * Returns a refusal, or undefined if the job is admitted. A job is admitted
   * without workers as long as more of them may report.
   */
  check(
    openJobs: number,
    workers: number,
    mayMoreWorkersReport: boolean,
  ): Refusal | undefined {
    if (workers === 0 && !mayMoreWorkersReport) {
      return {reason: 'no_workers', retryAfterMs: 1_000};
    }
    if (openJobs >= MAX_JOBS) return {reason: 'too_many', retryAfterMs: 1_000};
    return undefined;
  }
}
