import Pool from 'undici/lib/dispatcher/pool.js';
import * as v from 'valibot';
import {sendRequest} from '../adapter/http/send_request.js';
import type {Clock} from '../core/clock/clock.js';
import {InstanceProofs} from '../core/pool/lease/instance_proofs.js';
import {RunEnd} from '../core/pool/lease/run_end.js';
import {RunRefusal} from '../core/pool/lease/run_refusal.js';
import {WorkerClient} from '../core/pool/lease/worker_client.js';

const CONNECT_TIMEOUT_MS = 300;
/**
 * Maximum connections to one worker: a `/hold` request may keep one busy while
 * runs are started and stopped over the others.
 */
const MAX_CONNECTIONS = 6;
/** Idle connections are kept, since opening new ones costs the worker more. */
const KEEP_ALIVE_MS = 60_000;
/** Time after which the connections to a worker without calls are closed. */
const UNUSED_MS = 120_000;
/** Timeout of the request that shows a worker's process instance. */
const PROOF_TIMEOUT_MS = 150;
/** Several times the size of a reply with MAX_ENDED_RUNS and as many active runs. */
const MAX_REPLY_BYTES = 512 * 1024;
/** Maximum number of ended runs in one `/hold` reply. */
const MAX_ENDED_RUNS = 500;

const integer = v.pipe(v.number(), v.safeInteger());
const ClockReply = v.object({clock_ms: integer});
const Refusal = v.object({reason: v.string()});
const HoldReply = v.object({
  /** Time of the worker's clock. */
  clock_ms: integer,
  /** Start time of the process instance, in ms since the Unix epoch. */
  born: v.optional(integer),
  /** Runs in progress, as rows of task, run, checkpoint and percent. */
  running: v.array(v.looseTuple([v.string(), integer])),
  /** Ended runs, as rows of sequence number, task, run, outcome and checkpoint. */
  finished: v.array(v.looseTuple([integer, v.string(), integer, v.string()])),
});

const RUN_ENDS: Readonly<Record<string, RunEnd>> = {
  done: RunEnd.done,
  failed: RunEnd.failed,
  stopped: RunEnd.stopped,
  lapsed: RunEnd.lapsed,
};
const REFUSAL_REASONS: Readonly<Record<string, RunRefusal>> = {
  fence: RunRefusal.fenced,
  old: RunRefusal.old,
  late: RunRefusal.late,
  room: RunRefusal.noRoom,
};

type Target = Parameters<WorkerClient['start']>[0];
type StartOrder = Parameters<WorkerClient['start']>[1];
type StopOrder = Parameters<WorkerClient['stop']>[1];
type PollOrder = Parameters<WorkerClient['poll']>[1];
type Lost = Extract<Awaited<ReturnType<WorkerClient['start']>>, {kind: 'lost'}>;
type Reply =
  | {readonly kind: 'ok'; readonly body: unknown}
  | {readonly kind: 'refused'; readonly reason: RunRefusal}
  | Lost;

interface Call {
  readonly path: string;
  /** Fencing token in the body. */
  readonly token: number;
  readonly body: object;
  readonly timeoutMs: number;
  /** Part of the timeout in which the worker may wait before it replies. */
  readonly waitMs?: number;
}

/**
 * Client of the workers' HTTP API. Each request carries the dispatcher's fencing
 * token and the id of the worker. A worker may start again under its id, so orders
 * are written only to connections that lead to the process instance they name.
 */
export class HttpWorkerClient extends WorkerClient {
  private readonly pools = new Map<string, Pool>();
  private readonly instances = new InstanceProofs();
  /** When each pool was last used, by address. */
  private readonly usedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {
    super();
  }

  override async start(target: Target, order: StartOrder, timeoutMs: number) {
    const {token} = order;
    const body = {
      task: order.task,
      run: order.run,
      spec: order.payload,
      // End of the lease on the worker's clock.
      deadline_ms: order.leaseEnd,
      fencing_token: token,
    };
    const call = {path: '/run-start', token, body, timeoutMs};
    return decodeClock(await this.post(target, call));
  }

  override async stop(target: Target, order: StopOrder, timeoutMs: number) {
    const {token} = order;
    const body = {task: order.task, run: order.run, fencing_token: token};
    const call = {path: '/run-stop', token, body, timeoutMs};
    return decodeClock(await this.post(target, call));
  }

  override async poll(target: Target, order: PollOrder, timeoutMs: number) {
    const {token, waitMs} = order;
    const body = {
      fencing_token: token,
      acked_upto: order.acknowledged,
      ...(order.leaseEnd === undefined ? {} : {deadline_ms: order.leaseEnd}),
      ...(waitMs > 0 ? {wait_ms: waitMs} : {}),
    };
    const call = {path: '/hold', token, body, timeoutMs, waitMs};
    const {address} = target;
    const losses = this.instances.lossesOf(address);
    const reply = await this.post(target, call);
    if (reply.kind !== 'ok') return reply;
    const parsed = v.safeParse(HoldReply, reply.body);
    if (!parsed.success) return lost('the reply to /hold is malformed');
    const {clock_ms: clockMs, born: bornAt, running, finished} = parsed.output;
    this.instances.record(address, bornAt, losses);
    const polled = {
      clockMs,
      bornAt,
      running: running.map(([task, run]) => ({task, run})),
      ended: finished.map(([number, task, run, how]) => ({
        number,
        task,
        run,
        how: RUN_ENDS[how] ?? RunEnd.lost,
      })),
      isPartial: finished.length >= MAX_ENDED_RUNS,
    };
    return {kind: 'ok' as const, look: polled};
  }

  override release(address: string): void {
    const pool = this.pools.get(address);
    this.pools.delete(address);
    this.usedAt.delete(address);
    this.instances.delete(address);
    // Replies to requests that are still in flight are no longer needed.
    void pool?.destroy().catch(() => undefined);
  }

  private post(target: Target, call: Call): Promise<Reply> {
    const {clock} = this;
    const expiresAt = clock.elapsed() + call.timeoutMs - (call.waitMs ?? 0);
    return this.instances.send(target, {
      isValid: () => clock.elapsed() < expiresAt,
      prove: () => this.prove(target, call),
      exchange: mayBegin => this.exchange(target, call, mayBegin),
    });
  }

  /** Asks which process instance a worker runs, without a change to its state. */
  private prove({id, address}: Target, {token}: Call) {
    const order = {token, acknowledged: 0, waitMs: 0};
    return this.poll({id, address}, order, PROOF_TIMEOUT_MS);
  }

  private async exchange(
    {id, address}: Target,
    {path, body, timeoutMs}: Call,
    mayBegin: () => boolean,
  ): Promise<{reply: Reply; isWithheld: boolean}> {
    const request = {
      method: 'POST',
      path,
      headers: {'content-type': 'application/json', 'x-expect-instance': id},
      body: JSON.stringify(body),
    } as const;
    const {clock} = this;
    const limits = {timeoutMs, maxBytes: MAX_REPLY_BYTES, clock, mayBegin};
    const res = await sendRequest(this.getPool(address), request, limits);
    if (res.isOk) {
      const {status, text} = res.value;
      return {reply: decodeReply(status, text), isWithheld: false};
    }
    const {isWithheld, ...error} = res.error;
    return {reply: {kind: 'lost', ...error}, isWithheld};
  }

  /** A relay is not told which workers are gone. */
  private releaseUnused(now: number): void {
    for (const [address, usedAt] of this.usedAt) {
      if (now - usedAt > UNUSED_MS) this.release(address);
    }
  }

  private getPool(address: string): Pool {
    const now = this.clock.now();
    this.usedAt.set(address, now);
    let pool = this.pools.get(address);
    if (!pool) {
      this.releaseUnused(now);
      pool = new Pool(`http://${address}`, {
        connections: MAX_CONNECTIONS,
        pipelining: 1,
        connect: {timeout: CONNECT_TIMEOUT_MS},
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
      });
      const {clock, instances} = this;
      pool.on('connect', () => {
        const read = new Promise<void>(done => clock.afterInput(done));
        instances.recordConnection(address, read);
      });
      pool.on('disconnect', () => instances.recordLoss(address));
      this.pools.set(address, pool);
    }
    return pool;
  }
}

function decodeReply(status: number, text: string): Reply {
  if (status === 421) return refused(RunRefusal.otherLife);
  if (status === 429 || status === 503) return refused(RunRefusal.unhealthy);
  if (status === 400) return refused(RunRefusal.invalid);
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return lost(`status ${status} with a body that is not JSON`);
  }
  if (status === 200) return {kind: 'ok', body};
  if (status === 409 && v.is(Refusal, body)) {
    return refused(REFUSAL_REASONS[body.reason] ?? RunRefusal.invalid);
  }
  return lost(`status ${status}`);
}

function decodeClock(reply: Reply) {
  if (reply.kind !== 'ok') return reply;
  return v.is(ClockReply, reply.body)
    ? {kind: 'ok' as const, clockMs: reply.body.clock_ms}
    : lost('the reply has no valid clock_ms');
}

function refused(reason: RunRefusal) {
  return {kind: 'refused' as const, reason};
}

function lost(detail: string): Lost {
  return {kind: 'lost', detail};
}
