/**
 * Identifies a task in its payload, since a lent slot runs it under the key of
 * another job.
 */
export interface TaskOrigin {
  readonly key: string;
  readonly body: string;
  readonly task: number;
}
