import {readFileSync} from 'node:fs';
import type {Settings} from './settings.js';

const VOTER_COUNTS = [1, 3, 5];

/**
 * Checks the rules between settings whose values are valid individually. Returns
 * one message per error.
 */
export function checkCrossFieldRules(settings: Settings): string[] {
  const {nodes} = settings;
  const errors = [
    ...findDuplicates(
      'nodes.*.id',
      nodes.map(node => node.id),
    ),
    ...checkAddresses(settings),
    ...checkTimeouts(settings),
    ...checkToken(settings.admin_token_file),
  ];
  const self = nodes.find(node => node.id === settings.node);
  if (!self) {
    const ids = nodes.map(node => `"${node.id}"`).join(', ');
    errors.push(`node: got "${settings.node}"; expected one of ${ids}`);
  }
  if (self?.voter && settings.data_dir === undefined) {
    errors.push(
      `data_dir: missing; expected a path, as node "${self.id}" is a voter`,
    );
  }
  const voters = nodes.filter(node => node.voter).length;
  if (!VOTER_COUNTS.includes(voters)) {
    errors.push(`nodes.*.voter: got ${voters} voters; expected 1, 3 or 5`);
  }
  return errors;
}

function findDuplicates(key: string, values: readonly string[]): string[] {
  const duplicates = values.filter((value, at) => values.indexOf(value) < at);
  return [...new Set(duplicates)].map(
    value => `${key}: got "${value}" more than once; expected unique values`,
  );
}

function checkAddresses({caller, admin, nodes}: Settings): string[] {
  const listeners = [...nodes.map(node => node.peer), caller, admin];
  // Port 0 takes a different free port for each listener, so it never conflicts.
  const texts = listeners
    .filter(({port}) => port !== 0)
    .map(({host, port}) => `${host} port ${port}`);
  return findDuplicates('caller, admin, nodes.*.peer', texts);
}

function checkTimeouts({http}: Settings): string[] {
  const {headers_timeout_ms: headers, request_timeout_ms: request} = http;
  if (headers <= request) return [];
  return [
    `http.headers_timeout_ms: got ${headers}; expected no more than ` +
      `http.request_timeout_ms, ${request} ms`,
  ];
}

function checkToken(file: string): string[] {
  const expected = 'expected a readable file that holds a token';
  try {
    if (readFileSync(file, 'utf8').trim() !== '') return [];
    return [`admin_token_file: "${file}" is empty; ${expected}`];
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    return [`admin_token_file: got "${file}" (${detail}); ${expected}`];
  }
}
