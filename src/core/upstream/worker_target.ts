/** The worker process that a message is for. */
export interface WorkerTarget {
  readonly worker: string;
  readonly incarnation: string;
  readonly address: string;
  readonly connections: number;
}
