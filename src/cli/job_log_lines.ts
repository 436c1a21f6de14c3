import type {JobLogLine} from './job_log_line.js';

/** Fields left out of `fields`: identical on all lines or printed first. */
const EXCLUDED_FIELDS = new Set([
  'time',
  'level',
  'node',
  'zone',
  'message',
  'job',
]);

/**
 * Returns the log lines of one job in order of time. Text before the JSON
 * object of a line is ignored, as log collectors add prefixes. Lines without a
 * JSON object are skipped.
 */
export function jobLogLines(
  id: string,
  texts: readonly string[],
): JobLogLine[] {
  const lines = texts
    .flatMap(text => text.split('\n'))
    .filter(line => line.includes(id))
    .flatMap(line => parseLine(line, id) ?? []);
  return lines.sort((a, b) => (a.time < b.time ? -1 : 1));
}

function parseLine(line: string, id: string): JobLogLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let parsed: Record<string, unknown>;
  try {
    parsed = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    // The last line is incomplete while the file is being written.
    return undefined;
  }
  const {time, node, message, job} = parsed;
  if (job !== id) return undefined;
  if (typeof time !== 'string' || typeof message !== 'string') return undefined;
  const rest = Object.entries(parsed).filter(
    ([key]) => !EXCLUDED_FIELDS.has(key),
  );
  return {time, node: String(node), message, fields: Object.fromEntries(rest)};
}
