/** A line that a stand-in upstream prints. */
export type UpstreamReport =
  | {
      /** Id of the attempt. */
      readonly start: string;
      readonly key: string;
      readonly task: number;
      /** The payload's `origin`, which names the job of a lent task. */
      readonly origin?: unknown;
    }
  | {readonly end: string; readonly state: string};
