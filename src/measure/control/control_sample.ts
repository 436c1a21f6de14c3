/** Totals of one measured node since its start. */
export interface ControlSample {
  /** Processor time of the process, user and system. */
  readonly cpuMs: number;
  readonly wallMs: number;
  /** Heap in use after a collection. */
  readonly heapBytes: number;
  /** TCP payload, both directions; without the headers of TCP and IP. */
  readonly netBytes: number;
  /** Version in force. */
  readonly version: number;
}
