import {STATUS_CODES} from 'node:http';
import type {Problem} from './problem.js';

const MS_PER_S = 1_000;

interface ProblemDocument {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Returns the headers and the body of a problem response. */
export function problemDocument(problem: Problem): ProblemDocument {
  const {status, code, detail, outcome, retryAfterMs, extra} = problem;
  const body = JSON.stringify({
    type: `urn:pimentoyoke:problem:${code}`,
    title: STATUS_CODES[status],
    status,
    code,
    detail,
    outcome,
    retry_after_ms: retryAfterMs,
    ...extra,
  });
  const retry = Math.ceil((retryAfterMs ?? 0) / MS_PER_S);
  return {
    body,
    headers: {
      'content-type': 'application/problem+json',
      'content-length': String(Buffer.byteLength(body)),
      ...(retryAfterMs === undefined ? {} : {'retry-after': String(retry)}),
    },
  };
}
