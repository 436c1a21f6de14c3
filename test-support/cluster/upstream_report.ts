/** Line of JSON that a stand-in upstream prints when a task starts or ends. */
export type UpstreamReport =
  | {
      /** Id of the attempt. */
      readonly start: string;
      readonly key: string;
      readonly task: number;
      /** `origin` of the payload: the original job of a task on a lent slot. */
      readonly origin?: unknown;
    }
  | {readonly end: string; readonly state: string};
