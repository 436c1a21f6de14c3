import type {ServerResponse} from 'node:http';
import {STATUS_CODES} from 'node:http';
import type {RunOutcome} from '../../core/job/run_outcome.js';

interface Problem {
  readonly status: number;
  readonly code: string;
  readonly detail: string;
  /** What is known about the work; absent where no work is concerned. */
  readonly outcome?: RunOutcome;
  readonly retryAfterMs?: number;
}

const MS_PER_S = 1_000;

/** Answers with a problem document as in RFC 9457. */
export function sendProblem(res: ServerResponse, problem: Problem): void {
  if (res.headersSent) return;
  const {status, code, detail, outcome, retryAfterMs} = problem;
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
  };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_S));
  }
  res.writeHead(status, headers);
  res.end(
    JSON.stringify({
      type: `urn:pimentoyoke:problem:${code}`,
      title: STATUS_CODES[status],
      status,
      code,
      detail,
      outcome,
      retry_after_ms: retryAfterMs,
    }),
  );
}
