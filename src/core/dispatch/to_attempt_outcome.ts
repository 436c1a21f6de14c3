import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {AttemptReport} from '../upstream/attempt_report.js';

/** Converts a worker's report about an ended attempt to an outcome. */
export function toAttemptOutcome(
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
    case 'unknown':
      return {kind: 'unknown', reason: report.reason};
  }
}
