import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {AttemptReport} from '../upstream/attempt_report.js';

/** The outcome that a worker's final report states. */
export function outcomeOf(
  report: Exclude<AttemptReport, {state: 'running'}>,
): AttemptOutcome {
  switch (report.state) {
    case 'succeeded':
      return {kind: 'succeeded', result: report.result};
    case 'failed':
      return {kind: 'failed', error: report.error};
    case 'stopped':
      return {kind: 'stopped'};
    case 'never_started':
      return {kind: 'never_started', reason: report.reason};
  }
}
