/** Status of a job; every status except `running` is final. */
export const JobStatus = {
  running: 'running',
  complete: 'complete',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;

export type JobStatus = (typeof JobStatus)[keyof typeof JobStatus];
