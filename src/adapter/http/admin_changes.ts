import type {IncomingMessage, ServerResponse} from 'node:http';
import {Result} from 'true-myth';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {ConfigOutcome} from '../../daemon/admin/config_outcome.js';
import type {ConfigRefusal} from '../../daemon/admin/config_refusal.js';
import type {Problem} from './problem.js';
import {sendJson} from './send_json.js';
import {sendProblem} from './send_problem.js';

const KEY_PATTERN = /^"?([A-Za-z0-9._~-]{1,128})"?$/;
const VERSION_PATTERN = /^"?(\d{1,15})"?$/;
const RETRY_AFTER_MS = 1_000;

interface ChangeHeaders {
  readonly key: string;
  readonly expectedVersion: number;
}

const STATUS = {
  invalid: 400,
  not_found: 404,
  key_reused: 422,
  unsupported: 501,
} as const;

/** Request headers and responses common to all changes by the admin API. */
export class AdminChanges {
  /** Reads `If-Match` and `Idempotency-Key`. */
  static parseHeaders(req: IncomingMessage): Result<ChangeHeaders, Problem> {
    const version = VERSION_PATTERN.exec(req.headers['if-match'] ?? '')?.[1];
    if (version === undefined) {
      const detail = 'If-Match must contain the expected version, as "VERSION"';
      const isAbsent = req.headers['if-match'] === undefined;
      return Result.err(refuse(isAbsent ? 428 : 400, 'invalid', detail));
    }
    const header = req.headers['idempotency-key'];
    const key = typeof header === 'string' && KEY_PATTERN.exec(header)?.[1];
    if (!key) {
      const detail =
        'Idempotency-Key must be 1 to 128 characters of A-Z, a-z, 0-9, ".", "_", "~", "-"';
      return Result.err(refuse(400, 'invalid', detail));
    }
    return Result.ok({key, expectedVersion: Number(version)});
  }

  /** Sends the outcome of a change. */
  static sendOutcome(
    res: ServerResponse,
    result: Result<ConfigOutcome, ConfigRefusal>,
  ): void {
    if (result.isErr) return sendProblem(res, problemOf(result.error));
    const {version} = result.value;
    sendJson(res, 200, {version}, {etag: `"${version}"`});
  }
}

function problemOf(refusal: ConfigRefusal): Problem {
  switch (refusal.kind) {
    case 'conflict': {
      const {version, changes} = refusal;
      const detail = `the configuration is at version ${version}`;
      return {
        ...refuse(412, 'version_conflict', detail),
        extra: {version, changes},
      };
    }
    case 'unavailable':
      return {
        status: 503,
        code: 'unavailable',
        outcome: refusal.isSubmitted ? RunOutcome.unknown : RunOutcome.notRun,
        detail: refusal.detail,
        retryAfterMs: RETRY_AFTER_MS,
      };
    default:
      return refuse(STATUS[refusal.kind], refusal.kind, refusal.detail);
  }
}

function refuse(status: number, code: string, detail: string): Problem {
  return {status, code, outcome: RunOutcome.notRun, detail};
}
