/** Worker process to which a message is addressed. */
export interface WorkerTarget {
  readonly worker: string;
  readonly incarnation: string;
  readonly address: string;
  readonly connections: number;
}
