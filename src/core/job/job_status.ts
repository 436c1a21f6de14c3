/** States of a job; all but `running` are final. */
export const JobStatus = {
  running: 'running',
  complete: 'complete',
  failed: 'failed',
  cancelled: 'cancelled',
} as const;

export type JobStatus = (typeof JobStatus)[keyof typeof JobStatus];
