/** Reason why a request to another node got no response. */
export interface PeerError {
  /**
   * `unsent`: the request did not reach the node. `lost`: the request may have
   * reached the node. `failed`: the node failed to handle the request; whether
   * it had any effect is unknown.
   */
  readonly kind: 'unsent' | 'lost' | 'failed';
  readonly detail: string;
}
