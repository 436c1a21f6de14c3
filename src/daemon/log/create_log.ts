import {createConsola, LogLevels} from 'consola';
import type {ConsolaInstance, LogObject} from 'consola';

interface LogOptions {
  readonly node: string;
  readonly zone: string;
  /** Least severe level that is logged. Default `info`. */
  readonly level?: 'error' | 'warn' | 'info' | 'debug';
  /** Whether the log goes to a terminal. Default: whether stderr is one. */
  readonly isTerminal?: boolean;
  /** Writes one JSON line, which includes its newline. Default: to stderr. */
  readonly write?: (line: string) => void;
}

/**
 * Creates a log that is human-readable on a terminal and has one JSON object per
 * line elsewhere. Fields such as `job`, `class`, `zone` and `worker` are passed
 * as an object after the message. Task payloads are never logged.
 */
export function createLog(opts: LogOptions): ConsolaInstance {
  const level = LogLevels[opts.level ?? 'info'];
  if (opts.isTerminal ?? process.stderr.isTTY) {
    const {stderr} = process;
    return createConsola({level, stdout: stderr}).withTag(opts.node);
  }
  const write = opts.write ?? (line => process.stderr.write(line));
  const reporter = {
    log: (entry: LogObject) => write(`${toLine(entry, opts)}\n`),
  };
  return createConsola({level, reporters: [reporter]});
}

function toLine(entry: LogObject, {node, zone}: LogOptions): string {
  const [message, ...rest] = entry.args as unknown[];
  // consola merges quick repetitions and passes their number as another text.
  const texts = rest.filter(part => typeof part === 'string');
  const fields = rest.find(part => typeof part === 'object');
  return JSON.stringify({
    time: entry.date.toISOString(),
    level: entry.type,
    node,
    zone,
    message: [message, ...texts].join(' '),
    ...(fields as object | undefined),
  });
}
