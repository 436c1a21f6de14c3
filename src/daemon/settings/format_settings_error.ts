import * as v from 'valibot';

const MAX_VALUE_LENGTH = 80;

type Issue = v.BaseIssue<unknown>;

/** Formats an error as one line with the key, the value and the expected form. */
export function formatSettingsError(issue: Issue): string {
  const key = v.getDotPath(issue) ?? '(file)';
  if (issue.expected === 'never') return `${key}: unknown key`;
  const form = isTypeIssue(issue) ? getExpectedForm(issue) : issue.message;
  if (issue.input === undefined) {
    return `${key}: missing; expected ${form}`;
  }
  return `${key}: got ${formatValue(issue.input)}; expected ${form}`;
}

/** Whether the issue is of an object or array schema, which has no own message. */
function isTypeIssue(issue: Issue): boolean {
  return issue.type === 'strict_object' || issue.type === 'array';
}

function getExpectedForm(issue: Issue): string {
  // A missing key is an issue of its table, whose `expected` is the quoted key.
  if (issue.expected?.startsWith('"')) {
    return EXPECTED_FORMS[getLastKey(issue)] ?? 'a value';
  }
  return issue.type === 'array' ? 'an array of tables' : 'a table';
}

function getLastKey(issue: Issue): string {
  const key = issue.path?.at(-1)?.key;
  return typeof key === 'string' ? key : '';
}

const EXPECTED_FORMS: Readonly<Record<string, string>> = {
  node: 'the id of one of nodes',
  id: 'a node id',
  zone: 'the name of an availability zone',
  caller: 'a table {host, port}',
  admin: 'a table {host, port}',
  peer: 'a table {host, port}',
  host: 'an IP address, as a string',
  port: 'a port from 0 to 65535',
  admin_token_file: 'a path that is not empty',
  nodes: 'an array of tables {id, zone, peer, voter?}',
};

function formatValue(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  return text.length > MAX_VALUE_LENGTH
    ? `${text.slice(0, MAX_VALUE_LENGTH)}...`
    : text;
}
