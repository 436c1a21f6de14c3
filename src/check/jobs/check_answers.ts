import type {JobAnswer} from '../../core/job/job_answer.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {JobHistory} from './job_history.js';
import {resultOf} from './result_of.js';

type Complete = Extract<JobAnswer, {status: 'complete'}>;

/** Checks invariants I2, I3 and I4: the answers that callers got for a key. */
export function checkAnswers(job: JobHistory): string[] {
  const {key, executions} = job;
  const violations = [...checkRefusals(job), ...checkSameBody(job)];
  let first: string | undefined;
  for (const {answer} of job.answers) {
    if (answer.key !== key) {
      violations.push(`${key}: got the answer for ${answer.key}`);
    }
    if (answer.status === 'running') {
      if (first !== undefined) violations.push(`${key}: answer was retracted`);
      continue;
    }
    const serialized = JSON.stringify(answer);
    first ??= serialized;
    if (serialized !== first) {
      violations.push(`${key}: answers differ: ${first} and ${serialized}`);
    }
    if (answer.status === 'complete') {
      violations.push(...checkComplete(job, answer));
    } else if (answer.outcome === RunOutcome.notRun && executions.length > 0) {
      violations.push(`${key}: answered not_run, but it was started`);
    }
  }
  if (job.isAnswerDue && first === undefined) {
    violations.push(`${key}: no answer within the time limit`);
  }
  return violations;
}

function checkComplete(job: JobHistory, {results}: Complete): string[] {
  const {key} = job;
  const submission = job.submissions.find(
    ({body, refusal}) =>
      !refusal && results.length > 0 && results[0] === resultOf(key, body, 0),
  );
  if (!submission) return [`${key}: the results match no submission`];
  if (results.length !== submission.tasks) {
    return [`${key}: ${results.length} results for ${submission.tasks} tasks`];
  }
  return results.flatMap((result, task) => {
    const ok = job.executions.some(
      execution => execution.task === task && execution.succeeded,
    );
    if (!ok) return [`${key}: complete, but task ${task} did not succeed`];
    return result === resultOf(key, submission.body, task)
      ? []
      : [`${key}: wrong result of task ${task}: ${String(result)}`];
  });
}

/**
 * Checks that no task of a request refused with `not_run` is started. A later
 * accepted request with the same body may start its tasks.
 */
function checkRefusals(job: JobHistory): string[] {
  const violations: string[] = [];
  job.submissions.forEach(({refusal, body}, index) => {
    if (refusal?.outcome !== RunOutcome.notRun) return;
    const submittedAtIndex = job.submissionIndexes[index]!;
    const nextIndex = job.submissions.findIndex(
      (next, i) => i > index && next.body === body && !next.refusal,
    );
    const nextSubmittedAtIndex =
      nextIndex < 0 ? Infinity : job.submissionIndexes[nextIndex]!;
    for (const execution of job.executions) {
      if (execution.body !== body) continue;
      if (
        execution.index < submittedAtIndex ||
        execution.index < nextSubmittedAtIndex
      ) {
        violations.push(
          `${job.key}: refused as not_run (${refusal.code}), but started`,
        );
      }
    }
  });
  return violations;
}

/** Checks that a submission with a different body is refused. */
function checkSameBody({
  key,
  stored,
  submissions,
  submissionIndexes,
}: JobHistory): string[] {
  if (!stored || stored.body === '') return [];
  return submissions.flatMap(({body, refusal, byLeader}, index) => {
    const isJoined =
      !refusal && byLeader && submissionIndexes[index]! > stored.index;
    if (!isJoined || body === stored.body) return [];
    return [`${key}: a submission with another body was not refused`];
  });
}
