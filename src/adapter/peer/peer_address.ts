/** Address at which a daemon accepts connections of other daemons. */
export interface PeerAddress {
  readonly node: string;
  readonly host: string;
  readonly port: number;
}
