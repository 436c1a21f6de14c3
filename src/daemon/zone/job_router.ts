import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {JobAnswer} from '../../core/job/job_answer.js';
import type {JobKey} from '../../core/job/job_key.js';
import type {Refusal} from '../../core/job/refusal.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import type {JobRequest} from '../../core/job/job_request.js';
import type {JobResponse} from './job_response.js';
import type {ZoneDirectory} from './zone_directory.js';

/** Longest search for the dispatcher of a zone; a failover takes less time. */
const SEARCH_MS = 5_000;
const RETRY_DELAY_MS = 50;
/** Time added to the caller's wait for the response to arrive. */
const RESPONSE_MARGIN_MS = 3_000;

/**
 * Sends each request to the dispatcher of the job's home zone. All requests are
 * idempotent by job key, so one that may have been lost is sent again.
 */
export class JobRouter {
  constructor(
    private readonly directory: ZoneDirectory,
    private readonly peers: PeerTransport,
    private readonly clock: Clock,
  ) {}

  async route(
    key: JobKey,
    req: JobRequest,
  ): Promise<Result<JobAnswer, Refusal>> {
    const home = key.home(this.directory.zones);
    if (home === undefined) {
      return Result.err({
        code: 'invalid',
        outcome: RunOutcome.notRun,
        detail: `unknown zone "${key.zone}"`,
      });
    }
    const waitMs = 'waitMs' in req ? req.waitMs : 0;
    const startedAt = this.clock.now();
    let lastDetail = 'no node replied';
    let mayHaveRun = false;
    while (this.clock.now() - startedAt < Math.max(SEARCH_MS, waitMs)) {
      const remainingMs = Math.max(0, startedAt + waitMs - this.clock.now());
      const node = this.directory.pickNode(home);
      const res = await this.peers.request(
        node,
        'job',
        'waitMs' in req ? {...req, waitMs: remainingMs} : req,
        remainingMs + RESPONSE_MARGIN_MS,
      );
      const outcome = this.interpret(home, node, res.unwrapOr(undefined));
      if (outcome) return mayHaveRun ? outcome.mapErr(withoutNotRun) : outcome;
      if (res.isErr) {
        lastDetail = res.error.detail;
        mayHaveRun ||= res.error.kind === 'lost';
      }
      await this.waitForRetry();
    }
    return Result.err({
      code: 'unreachable',
      outcome: RunOutcome.unknown,
      detail: `no dispatcher of zone "${home}" is reachable: ${lastDetail}`,
      retryAfterMs: SEARCH_MS,
    });
  }

  /** Undefined if the request must be sent to another node. */
  private interpret(
    home: string,
    node: string,
    body: unknown,
  ): Result<JobAnswer, Refusal> | undefined {
    const res = body as JobResponse | undefined;
    switch (res?.kind) {
      case 'answer':
        this.directory.setDispatcher(home, node);
        return Result.ok(res.answer);
      case 'refusal':
        return Result.err(res.refusal);
      case 'redirect':
        this.directory.setDispatcher(home, res.leader);
        return undefined;
      default:
        this.directory.setDispatcher(home, undefined);
        return undefined;
    }
  }

  private waitForRetry(): Promise<void> {
    return new Promise(resolve => {
      this.clock.schedule(RETRY_DELAY_MS, resolve);
    });
  }
}

/**
 * Replaces "not run" by "unknown": an earlier copy of the request may still arrive
 * and be accepted.
 */
function withoutNotRun(refusal: Refusal): Refusal {
  if (refusal.outcome !== RunOutcome.notRun) return refusal;
  return {...refusal, outcome: RunOutcome.unknown};
}
