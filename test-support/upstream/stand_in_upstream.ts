import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {request} from 'undici';
import type {AttemptReport} from '../../src/core/upstream/attempt_report.js';
import type {AttemptStart} from '../../src/core/upstream/attempt_start.js';

const ANNOUNCE_INTERVAL_MS = 500;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;

interface StandInUpstreamOptions {
  readonly worker: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly slots: number;
  readonly connections: number;
  readonly memoryMb?: number;
  readonly classes?: readonly string[];
  /**
   * URLs of the daemons' caller APIs. Announcements go to the next one after a
   * failure.
   */
  readonly entries: readonly string[];
  readonly host?: string;
  readonly port?: number;
  /** Address to announce, such as that of a relay. Default: its own. */
  readonly announcedAddress?: string;
  /** Called when a start is received, before the task runs. */
  readonly onStart?: (start: AttemptStart) => void;
  /** Called when a task ends, before its report is sent. */
  readonly onEnd?: (report: AttemptReport) => void;
}

interface KnownAttempt {
  report: AttemptReport;
  timer: NodeJS.Timeout | undefined;
  /** Sends the report of the ended attempt. */
  done: (() => void) | undefined;
}

interface TaskPayload {
  /** Run time of the task, in ms. Default 0. */
  readonly ms?: number;
  readonly fail?: boolean;
  readonly value?: unknown;
}

/** Upstream that implements the worker protocol; its tasks only wait. */
export class StandInUpstream {
  /** Whether every task fails immediately. */
  isFailing = false;
  /** Whether announcements report that the upstream is leaving. */
  isLeaving = false;
  /** Whether requests are read but never get a reply. */
  isHanging = false;
  /** Whether each report in the reply to a start is sent twice. */
  duplicatesReports = false;
  /** Factor applied to the run time of each started task. */
  runTimeFactor = 1;
  private epoch = 0;
  private incarnation: string;
  private leaseExpirations = 0;
  private leaseTimer: NodeJS.Timeout | undefined;
  private sequence = 0;
  private entryIndex = 0;
  private leaseExpiresAt = 0;
  private readonly attempts = new Map<string, KnownAttempt>();
  private readonly server: Server;
  private isStopped = false;
  private announceTimer: NodeJS.Timeout | undefined;

  constructor(private readonly opts: StandInUpstreamOptions) {
    this.incarnation = opts.incarnation;
    this.server = createServer((req, res) => {
      // A client may disconnect in the middle of a request.
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Number of attempts that are currently running. */
  get running(): number {
    let count = 0;
    for (const {report} of this.attempts.values()) {
      if (report.state === 'running') count += 1;
    }
    return count;
  }

  async start(): Promise<void> {
    const {port = 0, host = '127.0.0.1'} = this.opts;
    await new Promise<void>(resolve =>
      this.server.listen(port, host, () => resolve()),
    );
    if (this.opts.entries.length > 0) this.scheduleAnnouncements();
  }

  /** Stops like a killed process: open requests get no reply. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.announceTimer);
    clearTimeout(this.leaseTimer);
    for (const {timer} of this.attempts.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  /** Address at which the dispatcher reaches this upstream. */
  get address(): string {
    const {announcedAddress, host = '127.0.0.1'} = this.opts;
    return announcedAddress ?? `http://${host}:${this.port}`;
  }

  private scheduleAnnouncements(): void {
    void this.announce().finally(() => {
      if (this.isStopped) return;
      this.announceTimer = setTimeout(
        () => this.scheduleAnnouncements(),
        ANNOUNCE_INTERVAL_MS,
      );
    });
  }

  private async announce(): Promise<void> {
    const {opts} = this;
    const entry = opts.entries[this.entryIndex % opts.entries.length]!;
    const sentAt = Date.now();
    const {incarnation} = this;
    this.sequence += 1;
    try {
      const res = await request(`${entry}/v1/workers`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        headersTimeout: 1_000,
        body: JSON.stringify({
          worker: opts.worker,
          incarnation,
          sequence: this.sequence,
          zone: opts.zone,
          rack: 'rack-1',
          address: this.address,
          slots: opts.slots,
          connections: opts.connections,
          memory_mb: opts.memoryMb ?? 128_000,
          classes: opts.classes ?? [],
          leaving: this.isLeaving,
          epoch: this.epoch,
        }),
      });
      const grant = (await res.body.json()) as {
        lease_ms?: number;
        epoch?: number;
      };
      if (grant.lease_ms !== undefined) {
        const {epoch = 0, lease_ms: leaseMs} = grant;
        if (epoch >= this.epoch && incarnation === this.incarnation) {
          this.renewLease(sentAt + leaseMs);
        }
        return;
      }
    } catch {
      // The next announcement is sent to another daemon.
    }
    this.entryIndex += 1;
  }

  private renewLease(expiresAt: number): void {
    if (expiresAt <= this.leaseExpiresAt) return;
    this.leaseExpiresAt = expiresAt;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => this.expireLease(),
      expiresAt - Date.now(),
    );
  }

  /**
   * Stops all tasks and continues as a new incarnation. Delayed starts that were
   * sent under the expired lease are then refused.
   */
  private expireLease(): void {
    for (const id of this.attempts.keys()) this.end(id, {id, state: 'stopped'});
    this.attempts.clear();
    this.leaseExpirations += 1;
    this.incarnation = `${this.opts.incarnation}.${this.leaseExpirations}`;
    this.sequence = 0;
  }

  private async handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    const body = JSON.parse(Buffer.concat(chunks).toString()) as {
      incarnation: string;
      epoch: number;
      attempts?: unknown[];
      forget?: string[];
    };
    // Sends no reply but keeps the connection open.
    if (this.isHanging) return;
    const {incarnation} = this;
    if (body.incarnation !== incarnation) {
      return this.reply(res, {incarnation}, HTTP_GONE);
    }
    if (body.epoch < this.epoch) {
      return this.reply(res, {incarnation, epoch: this.epoch}, HTTP_CONFLICT);
    }
    this.epoch = body.epoch;
    for (const id of body.forget ?? []) this.attempts.delete(id);
    switch (req.url) {
      case '/v1/attempts':
        return this.startAttempts(res, body.attempts as AttemptStart[]);
      case '/v1/stop':
        for (const id of body.attempts as string[]) this.stopAttempt(id);
        return this.reply(res, {incarnation});
      case '/v1/settle': {
        const ids = body.attempts as string[];
        const attempts = ids.map(id => this.settle(id));
        return this.reply(res, {incarnation, attempts});
      }
      case '/v1/fence': {
        const attempts = [...this.attempts.values()].map(known => known.report);
        return this.reply(res, {incarnation, attempts});
      }
      default:
        return this.reply(res, {incarnation}, 404);
    }
  }

  private reply(res: ServerResponse, body: object, status = 200): void {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  }

  private startAttempts(
    res: ServerResponse,
    starts: readonly AttemptStart[],
  ): void {
    res.writeHead(200, {'content-type': 'application/x-ndjson'});
    res.flushHeaders();
    let pending = starts.length;
    const finish = (report: AttemptReport) => {
      const line = `${JSON.stringify(report)}\n`;
      res.write(this.duplicatesReports ? line + line : line);
      pending -= 1;
      if (pending === 0) res.end();
    };
    for (const start of starts) this.startAttempt(start, finish);
  }

  private startAttempt(
    start: AttemptStart,
    finish: (report: AttemptReport) => void,
  ): void {
    const {id} = start;
    const earlier = this.attempts.get(id);
    if (earlier) {
      if (earlier.report.state === 'running') {
        earlier.done = () => finish(earlier.report);
      } else {
        finish(earlier.report);
      }
      return;
    }
    if (Date.now() >= this.leaseExpiresAt) {
      finish(this.settle(id, 'the lease has expired'));
      return;
    }
    this.opts.onStart?.(start);
    const payload = (start.payload ?? {}) as TaskPayload;
    const known: KnownAttempt = {
      report: {id, state: 'running'},
      timer: undefined,
      done: () => finish(known.report),
    };
    this.attempts.set(id, known);
    const isFailure = this.isFailing || payload.fail === true;
    const end = () =>
      this.end(
        id,
        isFailure
          ? {id, state: 'failed', error: 'the task failed'}
          : {id, state: 'succeeded', result: payload.value ?? null},
      );
    const ms = (payload.ms ?? 0) * this.runTimeFactor;
    known.timer = setTimeout(end, this.isFailing ? 0 : ms);
  }

  /** Returns the state of an attempt; an unknown one can no longer start. */
  private settle(id: string, reason = 'not received'): AttemptReport {
    const known = this.attempts.get(id);
    if (known) return known.report;
    const report = {id, state: 'never_started' as const, reason};
    this.attempts.set(id, {report, timer: undefined, done: undefined});
    return report;
  }

  private stopAttempt(id: string): void {
    this.settle(id);
    this.end(id, {id, state: 'stopped'});
  }

  private end(id: string, report: AttemptReport): void {
    const known = this.attempts.get(id);
    if (known?.report.state !== 'running') return;
    clearTimeout(known.timer);
    known.report = report;
    this.opts.onEnd?.(report);
    known.done?.();
  }
}
