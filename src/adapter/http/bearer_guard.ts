import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {Problem} from './problem.js';

const SCHEME = /^Bearer +(.+)$/i;

/** Refuses requests without the expected bearer token. */
export class BearerGuard {
  private readonly digest: Buffer;

  constructor(token: string) {
    this.digest = digestOf(token);
  }

  check(req: IncomingMessage, res: ServerResponse): Problem | undefined {
    const match = SCHEME.exec(req.headers.authorization ?? '');
    // Digests have equal lengths, so the comparison time does not depend on the
    // token.
    const received = digestOf(match?.[1]?.trim() ?? '');
    if (timingSafeEqual(received, this.digest) && match) return undefined;
    res.setHeader('www-authenticate', 'Bearer');
    return {
      status: 401,
      code: 'unauthorized',
      outcome: RunOutcome.notRun,
      detail: 'the bearer token is missing or invalid',
    };
  }
}

function digestOf(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}
