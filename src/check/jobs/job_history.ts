import type {JobAnswer} from '../../core/job/job_answer.js';
import type {HistoryEvent} from './history_event.js';

type Start = Extract<HistoryEvent, {kind: 'start'}>;
type Submit = Extract<HistoryEvent, {kind: 'submit'}>;

interface Execution extends Start {
  /** Indexes in the history of the start and the end. */
  readonly index: number;
  endIndex: number;
  succeeded: boolean;
}

/** Events of one job key, in the form that the checkers need. */
export class JobHistory {
  readonly submissions: Submit[] = [];
  readonly executions: Execution[] = [];
  readonly answers: Array<{at: number; answer: JobAnswer}> = [];
  /** Index in the history of each element of `submissions`. */
  readonly submissionIndexes: number[] = [];
  cancelled = false;
  committed = false;
  /** Body that the group has committed, and the index of the commit. */
  stored: {readonly body: string; readonly index: number} | undefined;
  hasLostState = false;

  constructor(readonly key: string) {}

  /**
   * Whether the job must have got an answer. After a submission that was lost
   * before its commit, the caller submits again. The dispatcher may refuse that
   * request as expired.
   */
  get isAnswerDue(): boolean {
    if (this.hasLostState) return false;
    const last = this.submissions.at(-1);
    return this.committed || (last !== undefined && !last.refusal);
  }
}
