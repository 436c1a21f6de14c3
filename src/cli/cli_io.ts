/** What a command reads and writes; tests pass their own. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether people read stderr, so that progress is shown there. */
  readonly isTerminal: boolean;
  readonly stdin: AsyncIterable<Buffer | string>;
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}
