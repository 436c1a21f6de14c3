/** Handle on something scheduled that can be called off. */
export interface Cancellable {
  cancel(): void;
}
