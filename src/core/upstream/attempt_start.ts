/** Start of one attempt, as sent to a worker. */
export interface AttemptStart {
  readonly id: string;
  readonly key: string;
  readonly task: number;
  readonly class: string;
  readonly tenant: string;
  readonly memory_mb: number;
  readonly accelerators: number;
  readonly payload: unknown;
}
