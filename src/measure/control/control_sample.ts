/** Resource use of a measured node since its start. */
export interface ControlSample {
  /** User and system CPU time of the process. */
  readonly cpuMs: number;
  readonly wallMs: number;
  /** Heap in use after a garbage collection. */
  readonly heapBytes: number;
  /** TCP payload in both directions, without TCP and IP headers. */
  readonly netBytes: number;
  /** Version of the configuration in force. */
  readonly version: number;
}
