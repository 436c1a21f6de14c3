/** Environment and standard streams of a command; replaced in tests. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether stderr is a terminal, which enables the progress output. */
  readonly isTerminal: boolean;
  readonly stdin: AsyncIterable<Buffer | string>;
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}
