/** Names the task in its payload; lent slots run it under another job's key. */
export interface TaskOrigin {
  readonly key: string;
  readonly body: string;
  readonly task: number;
}
