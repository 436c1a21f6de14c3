/** One entry that differs between two versions; absent when undefined. */
export interface ConfigDifference {
  /** For example `classes/render`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}
