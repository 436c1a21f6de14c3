/** A node's claim to dispatch, as received in its presence message. */
export interface DispatcherClaim {
  readonly node: string;
  /** Term of the log; a fallback uses the last term it knows. */
  readonly term: number;
  /** Fencing token of the node's orders. */
  readonly token: number;
  /** Whether the node serves only its zone, while there is no leader. */
  readonly isFallback: boolean;
  /** Address to which workers send their reports. */
  readonly reportAddress?: string | undefined;
  /** Revision of the queue configuration in force at the node. */
  readonly revision: number;
  /** Version of the configuration in force at the node. Default 0. */
  readonly version?: number | undefined;
  /** When the claim was last received. */
  readonly heardAt: number;
}
