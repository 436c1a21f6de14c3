import type {Dispatcher as HttpDispatcher} from 'undici';
import * as v from 'valibot';
import {AttemptReport} from '../../core/upstream/attempt_report.js';
import type {AttemptStart} from '../../core/upstream/attempt_start.js';
import {UpstreamClient} from '../../core/upstream/upstream_client.js';
import type {WorkerTarget} from '../../core/upstream/worker_target.js';
import {readLines} from './read_lines.js';
import {WorkerChannel} from './worker_channel.js';

/** Time for a short answer; a connection without one is taken for silent. */
const RESPONSE_TIMEOUT_MS = 1_000;
/**
 * A start's answer streams until its last attempt ends. Attempts that take
 * longer are settled by asking, so nothing is lost when the stream is cut.
 */
const STREAM_IDLE_TIMEOUT_MS = 15_000;
/** Longest report of one attempt. */
const MAX_LINE_LENGTH = 16 * 1024 * 1024;
/** Errors that come before any byte of the request has left. */
const UNSENT_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;

const Reply = v.object({
  incarnation: v.string(),
  epoch: v.optional(v.number()),
  attempts: v.optional(v.array(v.unknown())),
});

interface HttpUpstreamClientOptions {
  readonly onError: (detail: string) => void;
}

/** One request for starts whose answer still streams. */
interface StartStream {
  /** Attempts without a final report. */
  readonly open: Set<string>;
  readonly abort: AbortController;
}

/** Talks to workers over HTTP with a few connections to each. */
export class HttpUpstreamClient extends UpstreamClient {
  private readonly channels = new Map<string, WorkerChannel>();
  /** The stream that each attempt without a final report belongs to. */
  private readonly streams = new Map<string, StartStream>();

  constructor(private readonly opts: HttpUpstreamClientOptions) {
    super();
  }

  override start(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): void {
    void this.catchErrors(target, async () => {
      // Lets the dispatcher end its turn before any report.
      await Promise.resolve();
      const channel = this.getChannel(target);
      if (!channel.hasFreeStream) {
        this.reportUnsent(target, attempts, 'no free connection');
        return;
      }
      await this.sendStarts(target, channel, epoch, attempts);
    });
  }

  override stop(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
  ): void {
    void this.catchErrors(target, () =>
      this.post(target, 'stop', {epoch, attempts}),
    );
  }

  override settle(
    target: WorkerTarget,
    epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void {
    void this.catchErrors(target, async () => {
      const body = {epoch, attempts, forget};
      const reply = await this.post(target, 'settle', body);
      if (!reply) return;
      const requestedIds = new Set(attempts);
      const reports = this.parseReports(target, reply).filter(({id}) =>
        requestedIds.has(id),
      );
      this.deliver(target, reports);
      this.listener?.forgotten(target, forget);
    });
  }

  override fence(target: WorkerTarget, epoch: number): void {
    void this.catchErrors(target, async () => {
      const reply = await this.post(target, 'fence', {epoch});
      if (!reply) return;
      const reports = this.parseReports(target, reply);
      // An attempt that cannot be read must not be taken for unknown.
      if (reports.length !== (reply.attempts ?? []).length) return;
      this.listener?.fenced(target, epoch, reports);
    });
  }

  async close(): Promise<void> {
    const channels = [...this.channels.values()];
    this.channels.clear();
    await Promise.all(channels.map(channel => channel.destroy()));
  }

  private async sendStarts(
    target: WorkerTarget,
    channel: WorkerChannel,
    epoch: number,
    attempts: readonly AttemptStart[],
  ): Promise<void> {
    const abort = new AbortController();
    const stream = {open: new Set(attempts.map(({id}) => id)), abort};
    for (const id of stream.open)
      this.streams.set(streamKey(target, id), stream);
    const {incarnation} = target;
    try {
      await channel.withStream(
        {
          path: '/v1/attempts',
          body: {incarnation, epoch, attempts},
          signal: abort.signal,
        },
        res => this.readStream(target, stream, res),
        {
          headersTimeout: RESPONSE_TIMEOUT_MS,
          bodyTimeout: STREAM_IDLE_TIMEOUT_MS,
        },
      );
    } catch (err) {
      if (isUnsent(err)) {
        this.reportUnsent(target, attempts, 'the worker cannot be reached');
      }
      // Aborted because every attempt is settled.
      if (!abort.signal.aborted) throw err;
    } finally {
      for (const id of stream.open) this.streams.delete(streamKey(target, id));
    }
  }

  private async readStream(
    target: WorkerTarget,
    {open}: StartStream,
    res: HttpDispatcher.ResponseData,
  ): Promise<void> {
    if (res.statusCode !== HTTP_OK) {
      this.handleRefusal(target, res.statusCode, await res.body.json());
      return;
    }
    for await (const line of readLines(res.body, MAX_LINE_LENGTH)) {
      const report = this.parseReport(target, parseJson(line));
      if (report && open.has(report.id)) this.deliver(target, [report]);
    }
  }

  /** Passes reports on and lets go of streams that have nothing to tell. */
  private deliver(
    target: WorkerTarget,
    reports: readonly AttemptReport[],
  ): void {
    this.listener?.reported(target, reports);
    for (const {id, state} of reports) {
      if (state === 'running') continue;
      const key = streamKey(target, id);
      const stream = this.streams.get(key);
      if (!stream) continue;
      this.streams.delete(key);
      stream.open.delete(id);
      if (stream.open.size === 0) {
        // The last report may come with the end of the body.
        setImmediate(() => stream.abort.abort());
      }
    }
  }

  private reportUnsent(
    target: WorkerTarget,
    attempts: readonly AttemptStart[],
    reason: string,
  ): void {
    this.listener?.reported(
      target,
      attempts.map(({id}) => ({id, state: 'never_started' as const, reason})),
    );
  }

  private async post(
    target: WorkerTarget,
    kind: 'fence' | 'settle' | 'stop',
    body: object,
  ): Promise<v.InferOutput<typeof Reply> | undefined> {
    const {incarnation} = target;
    const res = await this.getChannel(target).post(kind, {
      path: `/v1/${kind}`,
      body: {...body, incarnation},
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    if (!res) return undefined;
    if (res.status !== HTTP_OK) {
      this.handleRefusal(target, res.status, res.json);
      return undefined;
    }
    const reply = v.safeParse(Reply, res.json);
    if (reply.success && reply.output.incarnation === incarnation) {
      return reply.output;
    }
    this.opts.onError(`${target.worker}: ${kind} has no known answer`);
    return undefined;
  }

  private parseReports(
    target: WorkerTarget,
    {attempts = []}: v.InferOutput<typeof Reply>,
  ): AttemptReport[] {
    return attempts.flatMap(attempt => this.parseReport(target, attempt) ?? []);
  }

  private parseReport(
    target: WorkerTarget,
    value: unknown,
  ): AttemptReport | undefined {
    const report = v.safeParse(AttemptReport, value);
    if (report.success) return report.output;
    this.opts.onError(`${target.worker}: a report has no known form`);
    return undefined;
  }

  /** 409 names a higher epoch, 410 another incarnation. */
  private handleRefusal(
    target: WorkerTarget,
    status: number,
    json: unknown,
  ): void {
    const reply = v.safeParse(Reply, json);
    if (!reply.success) return;
    const {incarnation, epoch} = reply.output;
    if (status === HTTP_GONE) {
      const isOther = incarnation !== target.incarnation;
      if (isOther) this.listener?.replaced(target, incarnation);
    } else if (status === HTTP_CONFLICT && epoch !== undefined) {
      this.listener?.superseded(target, epoch);
    }
  }

  /**
   * An exchange that breaks says nothing about the attempts, so it is only
   * reported; a connection that timed out is not used again.
   */
  private async catchErrors(
    target: WorkerTarget,
    exchange: () => Promise<unknown>,
  ): Promise<void> {
    try {
      await exchange();
    } catch (err) {
      this.opts.onError(`${target.worker}: ${String(err)}`);
    }
  }

  private getChannel({
    worker,
    address,
    connections,
  }: WorkerTarget): WorkerChannel {
    const existing = this.channels.get(worker);
    if (existing?.address === address) return existing;
    // The worker has restarted at another address.
    void existing?.destroy();
    const channel = new WorkerChannel(address, connections);
    this.channels.set(worker, channel);
    return channel;
  }
}

function streamKey(
  {worker, incarnation}: WorkerTarget,
  attempt: string,
): string {
  return `${worker} ${incarnation} ${attempt}`;
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
}

function isUnsent(err: unknown): boolean {
  return err instanceof Error && 'code' in err && UNSENT_CODES.has(err.code);
}
