import {createConsola, LogLevels} from 'consola';
import type {ConsolaInstance, LogObject} from 'consola';

interface LogOptions {
  readonly node: string;
  readonly zone: string;
  /** Least severe level that is logged. Default `info`. */
  readonly level?: 'error' | 'warn' | 'info' | 'debug';
  /** Whether people read the log on a terminal. Default: if stderr is one. */
  readonly isTerminal?: boolean;
  /** Takes each JSON line, its newline included. Default: stderr. */
  readonly write?: (line: string) => void;
}

/**
 * A log for people on a terminal, and one JSON object a line elsewhere. Fields
 * come as an object after the message: `job`, `class`, `zone`, `worker` and the
 * like. Task payloads are never logged.
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
  // consola drops quick repetitions and adds how many there were as text.
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
