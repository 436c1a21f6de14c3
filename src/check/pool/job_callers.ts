import type {DeploymentBench} from '../../../test-support/fakes/pool/deployment_bench.js';

/** Longest time for which a caller waits for an answer. */
const MAX_PATIENCE_MS = 4_000;
/** Interval at which entry nodes look for jobs whose deadline has come. */
const TICK_MS = 60;
/** Time after which a caller sends a job again whose answer it did not get. */
const RESEND_MS = 1_300;
/** How often a caller sends a job at most. */
const MAX_SENDS = 3;

interface JobOptions {
  readonly tasks?: number;
  readonly estimatedMs?: number;
  /** Time for which the caller waits for an answer. */
  readonly patienceMs: number;
}

interface Call {
  readonly id: string;
  readonly opts: JobOptions;
  entry: string;
  sends: number;
  sentAt: number;
  /** When the job is sent again; undefined while its caller waits. */
  resendAt: number | undefined;
}

/**
 * Callers of a deployment. One whose job was given up, whose connection broke or
 * that got no answer sends the job again, to an entry node of any zone.
 */
export class JobCallers {
  static readonly MAX_WAIT_MS = MAX_SENDS * (MAX_PATIENCE_MS + RESEND_MS);
  /** Jobs without an answer although their entry node was undisturbed. */
  readonly unanswered: string[] = [];
  private readonly calls = new Map<string, Call>();
  private readonly disturbed = new Set<string>();

  constructor(private readonly bench: DeploymentBench) {}

  /** Whether a caller waits for an answer or will send its job again. */
  get hasOpenCalls(): boolean {
    return this.calls.size > 0;
  }

  submit(entry: string, id: string, opts: JobOptions): void {
    const call = {id, opts, entry, sends: 0, sentAt: 0, resendAt: undefined};
    this.calls.set(id, call);
    this.send(call, entry);
  }

  /** Marks an entry node as one that may not answer in time. */
  disturb(entry: string): void {
    this.disturbed.add(entry);
  }

  /** Breaks the connections of the callers at an entry node. */
  disconnect(entry: string): void {
    for (const id of this.bench.callers.jobsAt(entry)) {
      this.bench.disconnectCaller(id);
      const call = this.calls.get(id);
      if (call) this.resendLater(call);
    }
  }

  tick(): void {
    const {bench} = this;
    for (const call of [...this.calls.values()]) {
      if (call.resendAt !== undefined) {
        if (bench.now >= call.resendAt) this.send(call, this.chooseEntry(call));
        continue;
      }
      const answer = bench.log.answers.get(call.id)?.at(-1);
      if (answer && answer.at >= call.sentAt && !bench.callers.has(call.id)) {
        if (answer.kind === 'given_up') this.resendLater(call);
        else this.calls.delete(call.id);
      } else if (bench.now - call.sentAt > call.opts.patienceMs + TICK_MS) {
        if (!this.disturbed.has(call.entry)) this.unanswered.push(call.id);
        bench.disconnectCaller(call.id);
        this.resendLater(call);
      }
    }
  }

  private resendLater(call: Call): void {
    call.resendAt = this.bench.now + RESEND_MS;
    if (call.sends >= MAX_SENDS) this.calls.delete(call.id);
  }

  private send(call: Call, entry: string | undefined): void {
    if (entry === undefined) return;
    const {bench} = this;
    call.entry = entry;
    call.sends += 1;
    call.sentAt = bench.now;
    call.resendAt = undefined;
    bench.submit(entry, call.id, call.opts);
  }

  /** An entry node of any zone, among those that run. */
  private chooseEntry({id, sends}: Call): string | undefined {
    const n = Number(id.slice(id.indexOf('-') + 1)) || 0;
    const ids = [...this.bench.entries.keys()];
    return ids[(n + 5 * sends) % ids.length];
  }
}
