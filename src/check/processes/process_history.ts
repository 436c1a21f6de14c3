import type {ChildProcess} from 'node:child_process';
import type {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import type {UpstreamReport} from '../../../test-support/cluster/upstream_report.js';
import type {JobAnswer} from '../../core/job/job_answer.js';
import type {Refusal} from '../../core/job/refusal.js';
import {checkHistory} from '../jobs/check_history.js';
import type {HistoryEvent} from '../jobs/history_event.js';
import type {TaskOrigin} from './task_origin.js';

interface SubmitOptions {
  readonly key: string;
  readonly body: string;
  readonly tasks: number;
  readonly repeatable: boolean;
}

interface StartRecord {
  readonly at: number;
  /** Zone whose dispatcher sent the start. */
  readonly zone: string;
  readonly epoch: number;
  /** Whether the task ran on a slot lent by another zone. */
  readonly isLent: boolean;
}

type Submit = Extract<HistoryEvent, {kind: 'submit'}>;
type MutableSubmit = {-readonly [K in keyof Submit]: Submit[K]};

/** Records events of callers and upstreams for the job checkers. */
export class ProcessHistory {
  readonly starts: StartRecord[] = [];
  private readonly events: HistoryEvent[] = [];
  private readonly running = new Map<ChildProcess, Set<string>>();
  private readonly zoneByAttempt = new Map<string, string>();

  /** Records the reports of all upstreams of a cluster. */
  watch(cluster: Pick<LocalCluster, 'onReport'>): void {
    cluster.onReport = (child, report) => this.onReport(child, report);
  }

  /**
   * Records a submission. Returns a function that records the response; without
   * a call of it, the submission may have been accepted.
   */
  recordSubmission(opts: SubmitOptions): (refusal?: Refusal) => void {
    const at = Date.now();
    const event: MutableSubmit = {
      ...{kind: 'submit', at, ...opts, byLeader: false, refusal: undefined},
    };
    this.events.push(event);
    return refusal => {
      event.refusal = refusal;
      event.byLeader = true;
      if (refusal) return;
      const {key, body} = opts;
      this.events.push({kind: 'committed', at: Date.now(), key, body});
    };
  }

  recordCancel(key: string): void {
    this.events.push({kind: 'cancel', at: Date.now(), key, taken: true});
  }

  recordAnswer(key: string, answer: JobAnswer): void {
    this.events.push({kind: 'answer', at: Date.now(), key, answer});
  }

  /** Number of jobs, by status and outcome of their first final answer. */
  countAnswers(): Map<string, number> {
    const answeredKeys = new Set<string>();
    const counts = new Map<string, number>();
    for (const event of this.events) {
      if (event.kind !== 'answer' || answeredKeys.has(event.key)) continue;
      const {answer} = event;
      if (answer.status === 'running') continue;
      answeredKeys.add(event.key);
      const outcome = 'outcome' in answer ? ` ${answer.outcome}` : '';
      const name = `${answer.status}${outcome}`;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
  }

  /** Returns all violations of the job invariants. */
  check(): string[] {
    return checkHistory(this.events);
  }

  private onReport(child: ChildProcess, report: UpstreamReport): void {
    const at = Date.now();
    const worker = `process ${child.pid}`;
    if ('end' in report) {
      const succeeded = report.state === 'succeeded';
      this.recordEnd(child, `${report.end}`, succeeded);
      return;
    }
    const origin = report.origin as TaskOrigin | undefined;
    if (!origin) return;
    const zone = report.key.slice(0, report.key.indexOf('~'));
    const epoch = Number(report.start.split('.')[0]);
    const isLent = report.key !== origin.key;
    this.starts.push({at, zone, epoch, isLent});
    this.zoneByAttempt.set(`${worker} ${report.start}`, zone);
    const running = this.running.get(child) ?? new Set();
    if (!this.running.has(child)) {
      this.running.set(child, running);
      // Tasks that ran on a process that has exited have ended without success.
      child.once('close', () => {
        for (const id of [...running]) this.recordEnd(child, id, false);
      });
    }
    running.add(report.start);
    this.events.push({
      kind: 'start',
      at,
      ...origin,
      attempt: `${zone} ${report.start}`,
      worker,
      incarnation: '',
      memoryMb: 0,
      sentAt: at,
    });
  }

  private recordEnd(child: ChildProcess, id: string, succeeded: boolean): void {
    const worker = `process ${child.pid}`;
    const zone = this.zoneByAttempt.get(`${worker} ${id}`);
    if (zone === undefined) return;
    this.running.get(child)?.delete(id);
    this.events.push({
      kind: 'end',
      at: Date.now(),
      attempt: `${zone} ${id}`,
      worker,
      incarnation: '',
      succeeded,
    });
  }
}
