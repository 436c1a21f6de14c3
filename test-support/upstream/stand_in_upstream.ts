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
  /** Called at each start, before the task runs. */
  readonly onStart?: (start: AttemptStart) => void;
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
  failing = false;
  leaving = false;
  private epoch = 0;
  private sequence = 0;
  private entry = 0;
  private leaseExpiresAt = 0;
  private readonly known = new Map<string, Known>();
  private readonly server: Server;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly opts: StandInOptions) {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  async start(): Promise<void> {
    const {port = 0, host = '127.0.0.1'} = this.opts;
    await new Promise<void>(resolve =>
      this.server.listen(port, host, () => resolve()),
    );
    this.announceForever();
  }

  async stop(): Promise<void> {
    clearTimeout(this.timer);
    for (const {timer} of this.known.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  /** Origin of the running server. */
  get address(): string {
    const address = this.server.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    return `http://${this.opts.host ?? '127.0.0.1'}:${port}`;
  }

  private announceForever(): void {
    void this.announce().finally(() => {
      this.timer = setTimeout(() => this.announceForever(), ANNOUNCE_MS);
    });
  }

  private async announce(): Promise<void> {
    const {opts} = this;
    const entry = opts.entries[this.entry % opts.entries.length]!;
    const sentAt = Date.now();
    this.sequence += 1;
    try {
      const res = await request(`${entry}/v1/workers`, {
        method: 'POST',
        headers: {'content-type': 'application/json'},
        headersTimeout: 1_000,
        body: JSON.stringify({
          worker: opts.worker,
          incarnation: opts.incarnation,
          sequence: this.sequence,
          zone: opts.zone,
          rack: 'rack-1',
          address: this.address,
          slots: opts.slots,
          connections: opts.connections,
          memory_mb: opts.memoryMb ?? 128_000,
          classes: opts.classes ?? [],
          leaving: this.leaving,
          epoch: this.epoch,
        }),
      });
      const grant = (await res.body.json()) as {lease_ms?: number};
      if (grant.lease_ms !== undefined) {
        this.leaseExpiresAt = sentAt + grant.lease_ms;
        return;
      }
    } catch {
      // The next announcement goes to another daemon.
    }
    this.entry += 1;
    if (Date.now() > this.leaseExpiresAt) this.stopAll();
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
    const {incarnation} = this.opts;
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
      res.write(`${JSON.stringify(report)}\n`);
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
    if (Date.now() > this.leaseExpiresAt) {
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
    const isFailure = this.failing || payload.fail === true;
    const end = () =>
      this.end(
        id,
        isFailure
          ? {id, state: 'failed', error: 'the task failed'}
          : {id, state: 'succeeded', result: payload.value ?? null},
      );
    known.timer = setTimeout(end, this.failing ? 0 : (payload.ms ?? 0));
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

  private stopAll(): void {
    for (const id of this.known.keys()) this.end(id, {id, state: 'stopped'});
  }

  private end(id: string, report: AttemptReport): void {
    const known = this.known.get(id);
    if (known?.report.state !== 'running') return;
    clearTimeout(known.timer);
    known.report = report;
    known.done?.();
  }
}
