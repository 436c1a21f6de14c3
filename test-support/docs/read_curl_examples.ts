import {readFileSync} from 'node:fs';

interface CurlExample {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | null;
  /** Expected status code; undefined if the page allows any status. */
  readonly status: number | undefined;
}

const BLOCK = /```sh\n(.*?)```/gs;
const COMMAND = /^# (\d{3}|any)\n(curl .*?)(?=^# (?:\d{3}|any)$|\s*$(?![\s\S]))/gms;
const WORD = /'([^']*)'|"((?:[^"\\]|\\.)*)"|(\S+)/g;

/**
 * Reads the curl commands of a Markdown page, in order. Each is returned as a
 * function that replaces shell variables such as `$KEY` by the given values.
 */
export function readCurlExamples(
  page: URL,
): Array<(variables: Readonly<Record<string, string>>) => CurlExample> {
  const text = readFileSync(page, 'utf8');
  return [...text.matchAll(BLOCK)].flatMap(([, block]) =>
    [...block!.matchAll(COMMAND)].map(
      ([, status, command]) =>
        variables =>
          parseCommand(status!, splitCommand(command!, variables)),
    ),
  );
}

/**
 * Splits a command into arguments like a shell. Supports only quotes, variables
 * and line continuations.
 */
function splitCommand(
  command: string,
  variables: Readonly<Record<string, string>>,
): string[] {
  const joined = command.replaceAll('\\\n', ' ').trim();
  return [...joined.matchAll(WORD)].map(([, single, double, bare]) => {
    if (single !== undefined) return single;
    return (double ?? bare ?? '')
      .replaceAll('\\"', '"')
      .replaceAll(/\$([A-Z_]+)/g, (_, name: string) => {
        const value = variables[name];
        if (value === undefined) throw new Error(`no value for shell variable ${name}`);
        return value;
      });
  });
}

function parseCommand(status: string, [, ...args]: string[]): CurlExample {
  let method: string | undefined;
  let url = '';
  let body: string | null = null;
  const headers: Record<string, string> = {};
  while (args.length > 0) {
    const arg = args.shift()!;
    if (arg === '-sS') continue;
    if (arg === '-X') {
      method = args.shift()!;
    } else if (arg === '-d') {
      body = args.shift()!;
    } else if (arg === '-H') {
      const [name, ...rest] = args.shift()!.split(': ');
      headers[name!] = rest.join(': ');
    } else if (url === '' && arg.startsWith('http')) {
      url = arg;
    } else {
      throw new Error(`unsupported curl argument "${arg}"`);
    }
  }
  return {
    method: method ?? (body === null ? 'GET' : 'POST'),
    url,
    headers,
    body,
    status: status === 'any' ? undefined : Number(status),
  };
}
