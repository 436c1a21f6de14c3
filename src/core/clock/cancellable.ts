/** Handle of a scheduled task. */
export interface Cancellable {
  cancel(): void;
}
