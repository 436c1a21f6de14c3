import type {IncomingMessage} from 'node:http';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {Problem} from './problem.js';

const JSON_TYPE =
  /^\s*application\/json\s*(;\s*charset\s*=\s*"?utf-8"?\s*)?(;\s*)?$/i;

/** Returns the problem with the headers that describe the body, if any. */
export function checkBodyHeaders(
  req: IncomingMessage,
  takesBody: boolean,
): Problem | undefined {
  const {headers} = req;
  const hasBody =
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0;
  // Without this check the request would run before its body is received, and a
  // malformed body could no longer be refused as `not_run`.
  if (!takesBody) {
    return hasBody
      ? refuse(400, 'this request must not have a body')
      : undefined;
  }
  if (!hasBody) return refuse(400, 'the body is missing');
  const encoding = headers['content-encoding'] ?? 'identity';
  if (encoding !== 'identity') {
    return refuse(415, 'the only supported content encoding is identity');
  }
  if (!JSON_TYPE.test(headers['content-type'] ?? '')) {
    return refuse(415, 'the content type must be application/json');
  }
  return undefined;
}

function refuse(status: number, detail: string): Problem {
  return {status, code: 'invalid', outcome: RunOutcome.notRun, detail};
}
