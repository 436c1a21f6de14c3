import type {IncomingMessage} from 'node:http';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {Problem} from './problem.js';

const JSON_TYPE =
  /^\s*application\/json\s*(;\s*charset\s*=\s*"?utf-8"?\s*)?(;\s*)?$/i;

/** What is wrong with the headers about the body, if anything. */
export function checkBodyHeaders(
  req: IncomingMessage,
  takesBody: boolean,
): Problem | undefined {
  const {headers} = req;
  const hasBody =
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0;
  // A request that acts before its body has come in whole could not be refused
  // truthfully when the rest of the body turns out to be malformed.
  if (!takesBody) {
    return hasBody ? refuse(400, 'this request takes no body') : undefined;
  }
  if (!hasBody) return refuse(400, 'the body is missing');
  const encoding = headers['content-encoding'] ?? 'identity';
  if (encoding !== 'identity') {
    return refuse(415, 'no content encoding is supported');
  }
  if (!JSON_TYPE.test(headers['content-type'] ?? '')) {
    return refuse(415, 'the content type must be application/json');
  }
  return undefined;
}

function refuse(status: number, detail: string): Problem {
  return {status, code: 'invalid', outcome: RunOutcome.notRun, detail};
}
