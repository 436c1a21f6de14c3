import * as v from 'valibot';

const MAX_VALUE_LENGTH = 80;

type Issue = v.BaseIssue<unknown>;

/** One line about a wrong value: its key, the value and the accepted form. */
export function formatSettingsError(issue: Issue): string {
  const key = v.getDotPath(issue) ?? '(file)';
  if (issue.expected === 'never') return `${key}: unknown key`;
  const form = isTypeIssue(issue) ? formOf(issue) : issue.message;
  if (issue.input === undefined) {
    return `${key}: missing; expected ${form}`;
  }
  return `${key}: got ${show(issue.input)}; expected ${form}`;
}

/** Object and array schemas have no message of ours. */
function isTypeIssue(issue: Issue): boolean {
  return issue.type === 'strict_object' || issue.type === 'array';
}

function formOf(issue: Issue): string {
  // A missing key is reported by the table that should hold it.
  if (issue.expected?.startsWith('"')) {
    return FORMS[lastKey(issue)] ?? 'a value';
  }
  return issue.type === 'array' ? 'an array of tables' : 'a table';
}

function lastKey(issue: Issue): string {
  const key = issue.path?.at(-1)?.key;
  return typeof key === 'string' ? key : '';
}

const FORMS: Readonly<Record<string, string>> = {
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

function show(value: unknown): string {
  const text = JSON.stringify(value) ?? String(value);
  return text.length > MAX_VALUE_LENGTH
    ? `${text.slice(0, MAX_VALUE_LENGTH)}...`
    : text;
}
