import type {IncomingMessage, ServerResponse} from 'node:http';
import * as v from 'valibot';
import {WorkerAnnouncement} from '../../core/worker/worker_announcement.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {JsonBodyReader} from './json_body_reader.js';
import {sendJson} from './send_json.js';
import {sendProblem} from './send_problem.js';

const MAX_BODY_BYTES = 256 * 1024;
const RETRY_AFTER_MS = 500;

interface LeaseGrant {
  readonly lease_ms: number;
  readonly epoch: number;
}

interface WorkerApiOptions {
  /**
   * Forwards an announcement to the dispatcher of its zone; resolves with
   * undefined if there is none.
   */
  readonly announce: (
    announcement: WorkerAnnouncement,
  ) => Promise<LeaseGrant | undefined>;
}

/** HTTP API for upstreams: `POST /v1/workers`. */
export class WorkerApi {
  constructor(private readonly opts: WorkerApiOptions) {}

  async announce(
    req: IncomingMessage,
    res: ServerResponse,
    bodies: JsonBodyReader,
  ): Promise<void> {
    const body = await bodies.read(req, MAX_BODY_BYTES);
    const outcome = RunOutcome.notRun;
    if (body.isErr) {
      sendProblem(res, {...body.error, code: 'invalid', outcome});
      return;
    }
    const parsed = v.safeParse(WorkerAnnouncement, body.value);
    if (!parsed.success) {
      const [issue] = parsed.issues;
      const detail = `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
      sendProblem(res, {status: 400, code: 'invalid', outcome, detail});
      return;
    }
    const grant = await this.opts.announce(parsed.output);
    if (grant) {
      sendJson(res, 200, grant);
      return;
    }
    sendProblem(res, {
      status: 503,
      code: 'unreachable',
      outcome,
      detail: `no dispatcher of zone "${parsed.output.zone}" is reachable`,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}
