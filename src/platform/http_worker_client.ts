import {Pool} from 'undici';
import * as v from 'valibot';
import {exchange} from '../adapter/http/exchange.js';
import type {Clock} from '../core/clock/clock.js';
import {RunEnd} from '../core/pool/run_end.js';
import {RunRefusal} from '../core/pool/run_refusal.js';
import {WorkerClient} from '../core/pool/worker_client.js';

const CONNECT_TIMEOUT_MS = 300;
/** Connections to one worker: a look that waits, and orders beside it. */
const MAX_CONNECTIONS = 6;
/** Idle connections are kept, since new ones cost the worker more. */
const KEEP_ALIVE_MS = 60_000;
/** Ends that a worker lists at once. */
const MAX_ENDS = 500;

const integer = v.pipe(v.number(), v.safeInteger());
const ClockReply = v.object({clock_ms: integer});
const Refusal = v.object({reason: v.string()});
const Look = v.object({
  clock_ms: integer,
  born: v.optional(integer),
  /** Rows of task, run, checkpoint and percent. */
  running: v.array(v.looseTuple([v.string(), integer])),
  /** Rows of number, task, run, how and checkpoint. */
  finished: v.array(v.looseTuple([integer, v.string(), integer, v.string()])),
});

const ENDS: Readonly<Record<string, RunEnd>> = {
  done: RunEnd.done,
  failed: RunEnd.failed,
  stopped: RunEnd.stopped,
  lapsed: RunEnd.lapsed,
};
const REASONS: Readonly<Record<string, RunRefusal>> = {
  fence: RunRefusal.fenced,
  old: RunRefusal.old,
  late: RunRefusal.late,
  room: RunRefusal.noRoom,
};

type Target = Parameters<WorkerClient['start']>[0];
type StartOrder = Parameters<WorkerClient['start']>[1];
type StopOrder = Parameters<WorkerClient['stop']>[1];
type LookOrder = Parameters<WorkerClient['poll']>[1];
type Answer =
  | {readonly kind: 'ok'; readonly body: unknown}
  | {readonly kind: 'refused'; readonly reason: RunRefusal}
  | {readonly kind: 'lost'; readonly detail: string};

/** Orders to workers over HTTP. */
export class HttpWorkerClient extends WorkerClient {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly clock: Clock) {
    super();
  }

  override async start(target: Target, order: StartOrder, timeoutMs: number) {
    const body = {
      task: order.task,
      run: order.run,
      spec: order.payload,
      deadline_ms: order.leaseEnd,
      fencing_token: order.token,
    };
    return clockOf(await this.post(target, '/run-start', body, timeoutMs));
  }

  override async stop(target: Target, order: StopOrder, timeoutMs: number) {
    const body = {
      task: order.task,
      run: order.run,
      fencing_token: order.token,
    };
    return clockOf(await this.post(target, '/run-stop', body, timeoutMs));
  }

  override async poll(target: Target, order: LookOrder, timeoutMs: number) {
    const body = {
      fencing_token: order.token,
      acked_upto: order.acknowledged,
      ...(order.leaseEnd === undefined ? {} : {deadline_ms: order.leaseEnd}),
      ...(order.waitMs > 0 ? {wait_ms: order.waitMs} : {}),
    };
    const answer = await this.post(target, '/hold', body, timeoutMs);
    if (answer.kind !== 'ok') return answer;
    const parsed = v.safeParse(Look, answer.body);
    if (!parsed.success) return lost('the lists cannot be read');
    const {clock_ms: clockMs, born: bornAt, running, finished} = parsed.output;
    const look = {
      clockMs,
      bornAt,
      running: running.map(([task, run]) => ({task, run})),
      ended: finished.map(([number, task, run, how]) => ({
        number,
        task,
        run,
        how: ENDS[how] ?? RunEnd.lost,
      })),
      isPartial: finished.length >= MAX_ENDS,
    };
    return {kind: 'ok' as const, look};
  }

  override release(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    // What is still open on it has no use any more.
    void pool?.destroy().catch(() => undefined);
  }

  private async post(
    {id, address}: Target,
    path: string,
    body: object,
    timeoutMs: number,
  ): Promise<Answer> {
    const request = {
      method: 'POST',
      path,
      headers: {'content-type': 'application/json', 'x-expect-instance': id},
      body: JSON.stringify(body),
    } as const;
    const limits = {timeoutMs, clock: this.clock};
    const res = await exchange(this.poolOf(address), request, limits);
    return res.isOk
      ? decodeAnswer(res.value.status, res.value.text)
      : lost(res.error);
  }

  private poolOf(address: string): Pool {
    let pool = this.pools.get(address);
    if (!pool) {
      pool = new Pool(`http://${address}`, {
        connections: MAX_CONNECTIONS,
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}

function decodeAnswer(status: number, text: string): Answer {
  if (status === 421) return refused(RunRefusal.otherLife);
  if (status === 429 || status === 503) return refused(RunRefusal.unhealthy);
  if (status === 400) return refused(RunRefusal.invalid);
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return lost(`status ${status} without a readable body`);
  }
  if (status === 200) return {kind: 'ok', body};
  if (status === 409 && v.is(Refusal, body)) {
    return refused(REASONS[body.reason] ?? RunRefusal.invalid);
  }
  return lost(`status ${status}`);
}

function clockOf(answer: Answer) {
  if (answer.kind !== 'ok') return answer;
  return v.is(ClockReply, answer.body)
    ? {kind: 'ok' as const, clockMs: answer.body.clock_ms}
    : lost('the answer cannot be read');
}

function refused(reason: RunRefusal) {
  return {kind: 'refused' as const, reason};
}

function lost(detail: string) {
  return {kind: 'lost' as const, detail};
}
