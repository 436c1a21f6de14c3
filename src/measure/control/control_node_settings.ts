/** What a measured node is told when it starts. */
export interface ControlPlan {
  readonly node: string;
  readonly dir: string;
  readonly nodes: ReadonlyArray<{
    readonly id: string;
    readonly voter: boolean;
    readonly port: number;
  }>;
}
