/** A request to change the voters of the configuration log. */
export interface VoterChange {
  readonly key: string;
  readonly expectedVersion: number;
  readonly action: 'add' | 'remove' | 'replace';
  readonly node: string;
  /** Node that becomes a voter instead of `node`; for `replace` only. */
  readonly replacement?: string | undefined;
}
