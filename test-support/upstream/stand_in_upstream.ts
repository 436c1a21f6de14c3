import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {request} from 'undici';
import type {AttemptReport} from '../../src/core/upstream/attempt_report.js';
import type {AttemptStart} from '../../src/core/upstream/attempt_start.js';

const ANNOUNCE_MS = 500;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;

interface StandInOptions {
  readonly worker: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly slots: number;
  readonly connections: number;
  readonly memoryMb?: number;
  readonly classes?: readonly string[];
  /** Callers' addresses of the daemons, asked in turn. */
  readonly entries: readonly string[];
  readonly host?: string;
  readonly port?: number;
  /** Address to announce, as that of a relay. Default: its own. */
  readonly announcedAddress?: string;
  /** Called at each start, before the task runs. */
  readonly onStart?: (start: AttemptStart) => void;
  /** Called when a started task ends, before its report is sent. */
  readonly onEnd?: (report: AttemptReport) => void;
}

interface Known {
  report: AttemptReport;
  timer: NodeJS.Timeout | undefined;
  done: (() => void) | undefined;
}

interface Payload {
  /** Run time of the task. */
  readonly ms?: number;
  readonly fail?: boolean;
  readonly value?: unknown;
}

/** An upstream that speaks the worker protocol and runs timed tasks. */
export class StandInUpstream {
  /** While true every start fails at once. */
  isFailing = false;
  /** While true it announces that it leaves, and soon refuses starts. */
  isLeaving = false;
  /** While true requests are read and get no answer. */
  isHanging = false;
  /** While true each report of a start is sent twice. */
  duplicatesReports = false;
  /** Factor on the run time of each task that starts. */
  runTimeFactor = 1;
  private epoch = 0;
  private incarnation: string;
  private lapses = 0;
  private lapse: NodeJS.Timeout | undefined;
  private sequence = 0;
  private entry = 0;
  private leaseExpiresAt = 0;
  private readonly known = new Map<string, Known>();
  private readonly server: Server;
  private isStopped = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly opts: StandInOptions) {
    this.incarnation = opts.incarnation;
    this.server = createServer((req, res) => {
      // A caller that goes away in the middle of a request is no fault here.
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Attempts that run now. */
  get running(): number {
    let count = 0;
    for (const {report} of this.known.values()) {
      if (report.state === 'running') count += 1;
    }
    return count;
  }

  async start(): Promise<void> {
    const {port = 0, host = '127.0.0.1'} = this.opts;
    await new Promise<void>(resolve =>
      this.server.listen(port, host, () => resolve()),
    );
    if (this.opts.entries.length > 0) this.announceForever();
  }

  /** Ends at once, as a process that dies: nothing is answered any more. */
  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    clearTimeout(this.lapse);
    for (const {timer} of this.known.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  /** Origin of the running server. */
  get address(): string {
    const {announcedAddress, host = '127.0.0.1'} = this.opts;
    return announcedAddress ?? `http://${host}:${this.port}`;
  }

  private announceForever(): void {
    void this.announce().finally(() => {
      if (this.isStopped) return;
      this.timer = setTimeout(() => this.announceForever(), ANNOUNCE_MS);
    });
  }

  private async announce(): Promise<void> {
    const {opts} = this;
    const entry = opts.entries[this.entry % opts.entries.length]!;
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
      // The next announcement goes to another daemon.
    }
    this.entry += 1;
  }

  private renewLease(expiresAt: number): void {
    if (expiresAt <= this.leaseExpiresAt) return;
    this.leaseExpiresAt = expiresAt;
    clearTimeout(this.lapse);
    this.lapse = setTimeout(() => this.leaseLapsed(), expiresAt - Date.now());
  }

  /**
   * Stops the tasks and goes on as a new incarnation: a start that was sent
   * under the old lease is then refused however late it arrives.
   */
  private leaseLapsed(): void {
    for (const id of this.known.keys()) this.end(id, {id, state: 'stopped'});
    this.known.clear();
    this.lapses += 1;
    this.incarnation = `${this.opts.incarnation}.${this.lapses}`;
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
    // The answer never comes; the connection stays open.
    if (this.isHanging) return;
    const {incarnation} = this;
    if (body.incarnation !== incarnation) {
      return this.reply(res, {incarnation}, HTTP_GONE);
    }
    if (body.epoch < this.epoch) {
      return this.reply(res, {incarnation, epoch: this.epoch}, HTTP_CONFLICT);
    }
    this.epoch = body.epoch;
    for (const id of body.forget ?? []) this.known.delete(id);
    switch (req.url) {
      case '/v1/attempts':
        return this.run(res, body.attempts as AttemptStart[]);
      case '/v1/stop':
        for (const id of body.attempts as string[]) this.stopAttempt(id);
        return this.reply(res, {incarnation});
      case '/v1/settle': {
        const ids = body.attempts as string[];
        const attempts = ids.map(id => this.settle(id));
        return this.reply(res, {incarnation, attempts});
      }
      case '/v1/fence': {
        const attempts = [...this.known.values()].map(known => known.report);
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

  private run(res: ServerResponse, starts: readonly AttemptStart[]): void {
    res.writeHead(200, {'content-type': 'application/x-ndjson'});
    res.flushHeaders();
    let open = starts.length;
    const finish = (report: AttemptReport) => {
      const line = `${JSON.stringify(report)}\n`;
      res.write(this.duplicatesReports ? line + line : line);
      open -= 1;
      if (open === 0) res.end();
    };
    for (const start of starts) this.startAttempt(start, finish);
  }

  private startAttempt(
    start: AttemptStart,
    finish: (report: AttemptReport) => void,
  ): void {
    const {id} = start;
    const earlier = this.known.get(id);
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
    const payload = (start.payload ?? {}) as Payload;
    const known: Known = {
      report: {id, state: 'running'},
      timer: undefined,
      done: () => finish(known.report),
    };
    this.known.set(id, known);
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

  /** An attempt that is not known never starts from here on. */
  private settle(id: string, reason = 'not received'): AttemptReport {
    const known = this.known.get(id);
    if (known) return known.report;
    const report = {id, state: 'never_started' as const, reason};
    this.known.set(id, {report, timer: undefined, done: undefined});
    return report;
  }

  private stopAttempt(id: string): void {
    this.settle(id);
    this.end(id, {id, state: 'stopped'});
  }

  private end(id: string, report: AttemptReport): void {
    const known = this.known.get(id);
    if (known?.report.state !== 'running') return;
    clearTimeout(known.timer);
    known.report = report;
    this.opts.onEnd?.(report);
    known.done?.();
  }
}
