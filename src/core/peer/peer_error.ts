/** Why a request to another node got no response. */
export interface PeerError {
  /**
   * `unsent`: the request surely did not reach the node. `lost`: it may have.
   * `failed`: the node could not handle it; what it did is not known.
   */
  readonly kind: 'unsent' | 'lost' | 'failed';
  readonly detail: string;
}
