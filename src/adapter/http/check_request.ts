import type {IncomingMessage} from 'node:http';
import {RunOutcome} from '../../core/job/run_outcome.js';
import {MAX_HEADER_LINES} from './max_header_lines.js';
import type {Problem} from './problem.js';

const MAX_URL_LENGTH = 2_048;

/** Returns the problem with the URL and the headers of a request, if any. */
export function checkRequest(req: IncomingMessage): Problem | undefined {
  const url = req.url ?? '';
  // Node silently drops header lines beyond its own limit, and one of them
  // could be the idempotency key.
  if (req.rawHeaders.length > 2 * MAX_HEADER_LINES) {
    return refuse(431, `the request has over ${MAX_HEADER_LINES} header lines`);
  }
  if (req.httpVersion === '1.1' && req.headers.host === undefined) {
    return refuse(400, 'the Host header is missing');
  }
  if (url.length > MAX_URL_LENGTH) {
    return refuse(414, `the URL exceeds ${MAX_URL_LENGTH} characters`);
  }
  if (!url.startsWith('/')) return refuse(400, 'the path must start with "/"');
  try {
    decodeURIComponent(url);
  } catch {
    return refuse(400, 'the URL has an invalid percent-encoding');
  }
  return undefined;
}

function refuse(status: number, detail: string): Problem {
  return {status, code: 'invalid', outcome: RunOutcome.notRun, detail};
}
