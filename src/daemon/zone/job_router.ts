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

/** How long a home zone is sought; a takeover ends within it. */
const SEEK_MS = 5_000;
const SEEK_PAUSE_MS = 50;
/** Time beyond the caller's wait for the response to travel. */
const RESPONSE_MARGIN_MS = 3_000;

/**
 * Brings each request to the dispatcher of the job's home zone. Every request
 * is idempotent by its key, so one that may have been lost is sent again.
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
        detail: `there is no zone "${key.zone}"`,
      });
    }
    const waitMs = 'waitMs' in req ? req.waitMs : 0;
    const started = this.clock.now();
    let lastDetail = 'no node answers';
    let isLost = false;
    while (this.clock.now() - started < Math.max(SEEK_MS, waitMs)) {
      const left = Math.max(0, started + waitMs - this.clock.now());
      const node = this.directory.pickNode(home);
      const res = await this.peers.request(
        node,
        'job',
        'waitMs' in req ? {...req, waitMs: left} : req,
        left + RESPONSE_MARGIN_MS,
      );
      const outcome = this.interpret(home, node, res.unwrapOr(undefined));
      if (outcome) return isLost ? outcome.mapErr(withoutNotRun) : outcome;
      if (res.isErr) {
        lastDetail = res.error.detail;
        isLost ||= res.error.kind === 'lost';
      }
      await this.pause();
    }
    return Result.err({
      code: 'unreachable',
      outcome: RunOutcome.unknown,
      detail: `zone "${home}" cannot be reached: ${lastDetail}`,
      retryAfterMs: SEEK_MS,
    });
  }

  /** Undefined when another node must be asked. */
  private interpret(
    home: string,
    node: string,
    body: unknown,
  ): Result<JobAnswer, Refusal> | undefined {
    const res = body as JobResponse | undefined;
    switch (res?.kind) {
      case 'answer':
        this.directory.setLeader(home, node);
        return Result.ok(res.answer);
      case 'refusal':
        return Result.err(res.refusal);
      case 'redirect':
        this.directory.setLeader(home, res.leader);
        return undefined;
      default:
        this.directory.setLeader(home, undefined);
        return undefined;
    }
  }

  private pause(): Promise<void> {
    return new Promise(resolve => {
      this.clock.schedule(SEEK_PAUSE_MS, resolve);
    });
  }
}

/**
 * An earlier copy of the request may still arrive and be accepted, so a later
 * refusal cannot say that nothing will run.
 */
function withoutNotRun(refusal: Refusal): Refusal {
  if (refusal.outcome !== RunOutcome.notRun) return refusal;
  return {...refusal, outcome: RunOutcome.unknown};
}
