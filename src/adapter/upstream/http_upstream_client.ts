import {Pool} from 'undici';
import * as v from 'valibot';
import {AttemptReport} from '../../core/upstream/attempt_report.js';
import type {AttemptStart} from '../../core/upstream/attempt_start.js';
import {UpstreamClient} from '../../core/upstream/upstream_client.js';
import type {WorkerTarget} from '../../core/upstream/worker_target.js';
import {readLines} from './read_lines.js';

/** Time for a short answer; a connection without one is taken for silent. */
const ANSWER_TIMEOUT_MS = 1_000;
/**
 * A start's answer streams until its last attempt ends. Attempts that take
 * longer are settled by asking, so nothing is lost when the stream is cut.
 */
const STREAM_SILENCE_MS = 15_000;
const CONNECT_TIMEOUT_MS = 1_000;
/** Errors that come before any byte of the request has left. */
const UNSENT_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;

const Reply = v.object({
  incarnation: v.string(),
  epoch: v.optional(v.number()),
  attempts: v.optional(v.array(AttemptReport)),
});

interface HttpUpstreamClientOptions {
  readonly onError: (detail: string) => void;
}

/** Talks to workers over HTTP with a connection pool for each. */
export class HttpUpstreamClient extends UpstreamClient {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly opts: HttpUpstreamClientOptions) {
    super();
  }

  override start(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): void {
    void this.guard(target, async () => {
      try {
        await this.stream(target, epoch, attempts);
      } catch (err) {
        if (isUnsent(err)) this.reportUnsent(target, attempts);
        throw err;
      }
    });
  }

  override stop(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void {
    void this.guard(target, () =>
      this.post(target, '/v1/stop', {epoch, attempts}),
    );
  }

  override settle(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void {
    void this.guard(target, async () => {
      const body = {epoch, attempts, forget};
      const reply = await this.post(target, '/v1/settle', body);
      if (reply?.attempts) this.listener?.reported(target, reply.attempts);
    });
  }

  override fence(target: WorkerTarget, epoch: number): void {
    void this.guard(target, async () => {
      const reply = await this.post(target, '/v1/fence', {epoch});
      if (reply) this.listener?.fenced(target, epoch, reply.attempts ?? []);
    });
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private async stream(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): Promise<void> {
    const res = await this.pool(target).request({
      path: '/v1/attempts',
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        incarnation: target.incarnation,
        epoch,
        attempts,
      }),
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: STREAM_SILENCE_MS,
    });
    if (res.statusCode === HTTP_CONFLICT || res.statusCode === HTTP_GONE) {
      this.refused(target, res.statusCode, await res.body.json());
      return;
    }
    for await (const line of readLines(res.body)) {
      const report = v.safeParse(AttemptReport, line);
      if (report.success) this.listener?.reported(target, [report.output]);
      else this.opts.onError(`${target.worker}: a report has no known form`);
    }
  }

  private reportUnsent(
    target: WorkerTarget,
    attempts: readonly AttemptStart[],
  ): void {
    const reason = 'the worker cannot be reached';
    const reports = attempts.map(({id}) => {
      return {id, state: 'never_started' as const, reason};
    });
    this.listener?.reported(target, reports);
  }

  private async post(
    target: WorkerTarget,
    path: string,
    body: object,
  ): Promise<v.InferOutput<typeof Reply> | undefined> {
    const res = await this.pool(target).request({
      path,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({...body, incarnation: target.incarnation}),
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    const json = await res.body.json();
    if (res.statusCode === HTTP_CONFLICT || res.statusCode === HTTP_GONE) {
      this.refused(target, res.statusCode, json);
      return undefined;
    }
    const reply = v.safeParse(Reply, json);
    if (!reply.success) {
      this.opts.onError(`${target.worker}: ${path} has no known answer`);
      return undefined;
    }
    return reply.output;
  }

  /** 409 names a higher epoch, 410 another incarnation. */
  private refused(target: WorkerTarget, status: number, json: unknown): void {
    const reply = v.safeParse(Reply, json);
    if (!reply.success) return;
    const {incarnation, epoch} = reply.output;
    if (status === HTTP_GONE) this.listener?.replaced(target, incarnation);
    else if (epoch !== undefined) this.listener?.superseded(target, epoch);
  }

  /**
   * An exchange that breaks says nothing about the attempts, so it is only
   * reported; a connection that timed out is not used again.
   */
  private async guard(
    target: WorkerTarget,
    exchange: () => Promise<unknown>,
  ): Promise<void> {
    try {
      await exchange();
    } catch (err) {
      this.opts.onError(`${target.worker}: ${String(err)}`);
    }
  }

  private pool({address, connections}: WorkerTarget): Pool {
    let pool = this.pools.get(address);
    if (!pool) {
      pool = new Pool(address, {
        connections,
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}

function isUnsent(err: unknown): boolean {
  return err instanceof Error && 'code' in err && UNSENT_CODES.has(err.code);
}
