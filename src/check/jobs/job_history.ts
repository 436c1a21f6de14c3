import type {JobAnswer} from '../../core/job/job_answer.js';
import type {HistoryEvent} from './history_event.js';

type Start = Extract<HistoryEvent, {kind: 'start'}>;
type Submit = Extract<HistoryEvent, {kind: 'submit'}>;

interface Execution extends Start {
  readonly index: number;
  endIndex: number;
  succeeded: boolean;
}

/** All that happened to one key, collected for the checkers. */
export class JobHistory {
  readonly submissions: Submit[] = [];
  readonly executions: Execution[] = [];
  readonly answers: Array<{at: number; answer: JobAnswer}> = [];
  /** Orders of the submissions, beside `submits`. */
  readonly submissionIndexes: number[] = [];
  cancelled = false;
  committed = false;
  /** The body that the group has stored, and when. */
  stored: {readonly body: string; readonly index: number} | undefined;
  hasLostState = false;

  constructor(readonly key: string) {}

  /**
   * Whether an answer is due. A submission that was lost before its commit is
   * made again by its caller; that one may be refused as too old.
   */
  get isAnswerDue(): boolean {
    if (this.hasLostState) return false;
    const last = this.submissions.at(-1);
    return this.committed || (last !== undefined && !last.refusal);
  }
}
