import {createConsola} from 'consola';
import type {ConsolaInstance, LogObject} from 'consola';

/**
 * A log for people on a terminal, and one JSON object a line elsewhere. Fields
 * come as an object after the message; task payloads are never logged.
 */
export function createLog(node: string): ConsolaInstance {
  if (process.stderr.isTTY) return createConsola().withTag(node);
  const reporter = {
    log: (entry: LogObject) => {
      process.stderr.write(`${JSON.stringify(toRecord(entry, node))}\n`);
    },
  };
  return createConsola({reporters: [reporter]});
}

function toRecord(entry: LogObject, node: string): object {
  const [message, fields] = entry.args as [unknown, object | undefined];
  return {
    time: entry.date.toISOString(),
    level: entry.type,
    node,
    message: String(message),
    ...fields,
  };
}
