/** One change of the voters of the configuration log. */
export interface VoterChange {
  readonly key: string;
  readonly expectedVersion: number;
  readonly action: 'add' | 'remove' | 'replace';
  readonly node: string;
  /** Node that takes the place; for `replace` only. */
  readonly replacement?: string | undefined;
}
