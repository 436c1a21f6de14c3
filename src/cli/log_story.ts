interface StoryLine {
  readonly time: string;
  readonly node: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that say the same on each line or are shown before the others. */
const COMMON = new Set(['time', 'level', 'node', 'zone', 'message', 'job']);

/**
 * The log lines about one request, by time. A line may follow a prefix, as
 * collectors put one before it; lines that are not JSON objects are passed over.
 */
export function logStory(id: string, texts: readonly string[]): StoryLine[] {
  const lines = texts
    .flatMap(text => text.split('\n'))
    .filter(line => line.includes(id))
    .flatMap(line => parseLine(line, id) ?? []);
  return lines.sort((a, b) => (a.time < b.time ? -1 : 1));
}

function parseLine(line: string, id: string): StoryLine | undefined {
  const begin = line.indexOf('{');
  if (begin < 0) return undefined;
  let parsed: Record<string, unknown>;
  try {
    parsed = JSON.parse(line.slice(begin)) as Record<string, unknown>;
  } catch {
    // A torn last line of a file that is still written.
    return undefined;
  }
  const {time, node, message, job} = parsed;
  if (job !== id) return undefined;
  if (typeof time !== 'string' || typeof message !== 'string') return undefined;
  const rest = Object.entries(parsed).filter(([key]) => !COMMON.has(key));
  return {time, node: String(node), message, fields: Object.fromEntries(rest)};
}
