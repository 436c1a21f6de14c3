import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Result} from 'true-myth';
import {v7 as uuidv7} from 'uuid';
import * as v from 'valibot';
import type {Clock} from '../../core/clock/clock.js';
import type {JobAnswer} from '../../core/job/job_answer.js';
import {JobKey} from '../../core/job/job_key.js';
import type {JobSpec} from '../../core/job/job_spec.js';
import type {Refusal} from '../../core/job/refusal.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {JobRequest} from '../../core/job/job_request.js';
import {JobSubmission} from './job_submission.js';
import type {JsonBodyReader} from './json_body_reader.js';
import {decodeSegment} from './decode_segment.js';
import {sendJson} from './send_json.js';
import {sendProblem} from './send_problem.js';

const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
const MAX_WAIT_MS = 60_000;

const STATUS: Readonly<Record<Refusal['code'], number>> = {
  invalid: 400,
  not_found: 404,
  conflict: 409,
  expired: 410,
  unknown_class: 422,
  unplaceable: 422,
  overloaded: 429,
  unreachable: 503,
  draining: 503,
  not_leader: 503,
};

interface CallerApiOptions {
  readonly zone: string;
  readonly clock: Clock;
  /** Limit of the body of a submission, in bytes. Default 8 MiB. */
  readonly maxBodyBytes?: number | undefined;
  readonly route: (
    key: JobKey,
    req: JobRequest,
  ) => Promise<Result<JobAnswer, Refusal>>;
}

/** HTTP API for callers: submit, fetch, cancel and acknowledge jobs. */
export class CallerApi {
  private readonly maxBodyBytes: number;

  constructor(private readonly opts: CallerApiOptions) {
    this.maxBodyBytes = opts.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  }

  /** `POST /v1/keys` */
  createKey(res: ServerResponse): void {
    sendJson(res, 201, {key: this.newKey()});
  }

  /** `POST /v1/jobs` */
  async submit(
    req: IncomingMessage,
    res: ServerResponse,
    bodies: JsonBodyReader,
  ): Promise<void> {
    const header = req.headers['idempotency-key'];
    const key = JobKey.parse(
      typeof header === 'string' ? unquote(header) : this.newKey(),
    );
    if (key.isErr) return invalid(res, 400, key.error);
    const body = await bodies.read(req, this.maxBodyBytes);
    if (body.isErr) return refuseBody(res, body.error);
    const parsed = v.safeParse(JobSubmission, body.value);
    if (!parsed.success) return invalid(res, 400, issuesOf(parsed.issues));
    const spec = this.specOf(key.value, parsed.output);
    const waitMs = parsed.output.wait_ms;
    if (parsed.output.cancel_on_disconnect) {
      // The caller may have disconnected while its body was read.
      if (res.destroyed) return;
      res.once('close', () => {
        if (!res.writableFinished) this.cancelIgnoringErrors(key.value);
      });
    }
    await this.serve(res, key.value, {
      kind: 'submit',
      key: key.value.text,
      spec,
      waitMs,
    });
  }

  /** `GET /v1/jobs/KEY` */
  async fetch(res: ServerResponse, text: string, wait: string): Promise<void> {
    const key = JobKey.parse(decodeSegment(text));
    if (key.isErr) return invalid(res, 400, key.error);
    const waitMs = /^\d{1,9}$/.test(wait) ? Number(wait) : Number.NaN;
    if (!(waitMs >= 0 && waitMs <= MAX_WAIT_MS)) {
      return invalid(res, 400, `wait_ms must be from 0 to ${MAX_WAIT_MS}`);
    }
    await this.serve(res, key.value, {
      kind: 'fetch',
      key: key.value.text,
      waitMs,
    });
  }

  /** `DELETE /v1/jobs/KEY` and `POST /v1/jobs/KEY/ack` */
  async change(
    res: ServerResponse,
    text: string,
    kind: 'cancel' | 'acknowledge',
  ): Promise<void> {
    const key = JobKey.parse(decodeSegment(text));
    if (key.isErr) return invalid(res, 400, key.error);
    await this.serve(res, key.value, {kind, key: key.value.text});
  }

  private async serve(
    res: ServerResponse,
    key: JobKey,
    req: JobRequest,
  ): Promise<void> {
    const result = await this.opts.route(key, req);
    if (result.isErr) {
      const {code} = result.error;
      sendProblem(res, {...result.error, status: STATUS[code]});
      return;
    }
    const status = result.value.status === 'running' ? 202 : 200;
    sendJson(res, status, result.value, {location: `/v1/jobs/${key.text}`});
  }

  private cancelIgnoringErrors(key: JobKey): void {
    // The caller has disconnected, so a failure cannot be reported to it.
    this.opts
      .route(key, {kind: 'cancel', key: key.text})
      .catch(() => undefined);
  }

  private newKey(): string {
    const msecs = this.opts.clock.now();
    return `${this.opts.zone}~${uuidv7({msecs})}`;
  }

  private specOf(key: JobKey, body: JobSubmission): JobSpec {
    const {class: className, tenant, repeatable, tasks} = body;
    const identity = JSON.stringify({className, tenant, repeatable, tasks});
    return {
      key: key.text,
      keyTimeMs: key.timeMs,
      className,
      tenant,
      repeatable,
      tasks,
      fingerprint: createHash('sha256').update(identity).digest('base64url'),
      submittedAt: this.opts.clock.now(),
    };
  }
}

/** The draft standard of the header quotes the key; unquoted keys also work. */
function unquote(header: string): string {
  return header.replace(/^"(.*)"$/, '$1');
}

function invalid(res: ServerResponse, status: number, detail: string): void {
  const outcome = RunOutcome.notRun;
  sendProblem(res, {status, code: 'invalid', outcome, detail});
}

function refuseBody(
  res: ServerResponse,
  error: {status: number; detail: string; retryAfterMs?: number},
): void {
  const code = error.status === 503 ? 'overloaded' : 'invalid';
  sendProblem(res, {...error, code, outcome: RunOutcome.notRun});
}

function issuesOf(issues: readonly v.BaseIssue<unknown>[]): string {
  return issues
    .map(issue => `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`)
    .join('; ');
}
