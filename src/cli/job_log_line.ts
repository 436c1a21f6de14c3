/** One line of a node's log about a job. */
export interface JobLogLine {
  readonly time: string;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
