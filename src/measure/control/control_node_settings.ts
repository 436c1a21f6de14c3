/** Settings of a measured node, passed as JSON in its first argument. */
export interface ControlNodeSettings {
  readonly node: string;
  readonly dir: string;
  readonly nodes: ReadonlyArray<{
    readonly id: string;
    readonly voter: boolean;
    readonly port: number;
  }>;
}
