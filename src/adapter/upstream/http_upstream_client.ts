import type {Dispatcher as HttpDispatcher} from 'undici';
import * as v from 'valibot';
import {AttemptReport} from '../../core/upstream/attempt_report.js';
import type {AttemptStart} from '../../core/upstream/attempt_start.js';
import {UpstreamClient} from '../../core/upstream/upstream_client.js';
import type {WorkerTarget} from '../../core/upstream/worker_target.js';
import {readLines} from './read_lines.js';
import {WorkerChannel} from './worker_channel.js';

/** Timeout of replies that are not streamed, and of the headers of a stream. */
const RESPONSE_TIMEOUT_MS = 1_000;
/**
 * Timeout between two reports of a stream, which stays open until the last
 * attempt of its start ends. Attempts without a final report are polled with
 * `settle`, so a stream that times out loses no reports.
 */
const STREAM_IDLE_TIMEOUT_MS = 15_000;
/** Limit of the report of one attempt, in characters. */
const MAX_LINE_LENGTH = 16 * 1024 * 1024;
/** Codes of errors that occur before any byte of the request is sent. */
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

/** Request to start attempts whose response is still being streamed. */
interface StartStream {
  /** Attempts without a final report. */
  readonly open: Set<string>;
  readonly abort: AbortController;
}

/** Sends messages to workers over HTTP, with a limited pool per worker. */
export class HttpUpstreamClient extends UpstreamClient {
  private readonly channels = new Map<string, WorkerChannel>();
  /** Streams by attempt, for attempts without a final report. */
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
      // Defers reports until the dispatcher has returned from this call.
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
      // An attempt missing from the list counts as unknown to the worker, so a
      // list with an invalid report is not used.
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
    for (const id of stream.open) this.streams.set(keyOf(target, id), stream);
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
        this.reportUnsent(target, attempts, 'the worker is unreachable');
      }
      // The stream is aborted when all of its attempts have final reports.
      if (!abort.signal.aborted) throw err;
    } finally {
      for (const id of stream.open) this.streams.delete(keyOf(target, id));
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

  /** Forwards reports and aborts streams whose attempts have all ended. */
  private deliver(
    target: WorkerTarget,
    reports: readonly AttemptReport[],
  ): void {
    this.listener?.reported(target, reports);
    for (const {id, state} of reports) {
      if (state === 'running') continue;
      const key = keyOf(target, id);
      const stream = this.streams.get(key);
      if (!stream) continue;
      this.streams.delete(key);
      stream.open.delete(id);
      if (stream.open.size === 0) {
        // Deferred: the end of the body may arrive with the last report.
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
    this.opts.onError(`${target.worker}: invalid reply to "${kind}"`);
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
    this.opts.onError(`${target.worker}: invalid attempt report`);
    return undefined;
  }

  /** Handles 409, sent for a higher epoch, and 410, for another incarnation. */
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
   * Runs `exchange` and logs its errors. A failed exchange does not reveal the
   * state of the attempts, so none is reported; a connection that timed out is
   * not reused.
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
    // The worker was restarted at another address.
    void existing?.destroy();
    const channel = new WorkerChannel(address, connections);
    this.channels.set(worker, channel);
    return channel;
  }
}

function keyOf({worker, incarnation}: WorkerTarget, attempt: string): string {
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
