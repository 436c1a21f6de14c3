/** Where a daemon takes connections of other daemons. */
export interface PeerAddress {
  readonly node: string;
  readonly host: string;
  readonly port: number;
}
