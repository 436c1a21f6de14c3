/**
 * One entry that differs between two versions. A value is undefined where the
 * entry does not exist.
 */
export interface ConfigDifference {
  /** Section and name, for example `classes/render`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}
