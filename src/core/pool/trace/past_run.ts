import type {LossCause} from '../lease/loss_cause.js';
import type {RunEnd} from '../lease/run_end.js';
import type {RunRefusal} from '../lease/run_refusal.js';

/** A run of a task that counts as over, and how that became known. */
export interface PastRun {
  readonly number: number;
  readonly worker: string;
  /** How it ended, or why its start was refused. */
  readonly how: RunEnd | RunRefusal;
  /** How a loss became known; undefined if the end was reported. */
  readonly cause: LossCause | undefined;
  readonly sentAt: number;
  /** When it became known that the run is over. */
  readonly endedAt: number;
}
