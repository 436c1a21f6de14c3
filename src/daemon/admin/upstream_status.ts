/** Status of one worker, as this daemon sees it. */
export interface UpstreamStatus {
  readonly worker: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly rack: string;
  readonly address: string;
  readonly slots: number;
  readonly slots_used: number;
  readonly memory_mb: number;
  readonly accelerators: number;
  /** Classes that the worker serves; empty means all. */
  readonly classes: readonly string[];
  readonly leaving: boolean;
  readonly lease_left_ms: number;
}
