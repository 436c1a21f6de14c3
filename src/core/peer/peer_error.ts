/** Why a request to another node got no response. */
export interface PeerError {
  /**
   * `unsent`: the request surely did not reach the node. `lost`: it may have.
   */
  readonly kind: 'unsent' | 'lost';
  readonly detail: string;
}
