/** A node that dispatches, as another node has heard of it. */
export interface PoolLead {
  readonly node: string;
  /** Term of the lead of the log; a fallback has that of the last one. */
  readonly term: number;
  /** Fencing token of its orders. */
  readonly token: number;
  /** Whether it serves one zone only, while no lead of the log is known. */
  readonly isFallback: boolean;
  /** Address for workers' reports. */
  readonly reportAddress?: string | undefined;
  /** Revision of the queues that it has in force. */
  readonly revision: number;
  readonly heardAt: number;
}
