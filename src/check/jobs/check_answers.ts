import type {JobAnswer} from '../../core/job/job_answer.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {JobHistory} from './job_history.js';
import {resultOf} from './result_of.js';

type Complete = Extract<JobAnswer, {status: 'complete'}>;

/** I2, I3 and I4: what callers were told about one key. */
export function checkAnswers(job: JobHistory): string[] {
  const {key, executions: runs} = job;
  const violations = [...checkRefusals(job), ...checkSameBody(job)];
  let first: string | undefined;
  for (const {answer} of job.answers) {
    if (answer.key !== key) {
      violations.push(`${key}: got the answer of ${answer.key}`);
    }
    if (answer.status === 'running') {
      if (first !== undefined) violations.push(`${key}: an answer was undone`);
      continue;
    }
    const serialized = JSON.stringify(answer);
    first ??= serialized;
    if (serialized !== first) {
      violations.push(`${key}: answers differ: ${first} and ${serialized}`);
    }
    if (answer.status === 'complete') {
      violations.push(...checkComplete(job, answer));
    } else if (answer.outcome === RunOutcome.notRun && runs.length > 0) {
      violations.push(`${key}: answered not_run, but it was started`);
    }
  }
  if (job.isAnswerDue && first === undefined) {
    violations.push(`${key}: no answer within the bound`);
  }
  return violations;
}

function checkComplete(job: JobHistory, {results}: Complete): string[] {
  const {key} = job;
  const submission = job.submissions.find(
    ({body, refusal}) =>
      !refusal && results.length > 0 && results[0] === resultOf(key, body, 0),
  );
  if (!submission) return [`${key}: the results belong to no submission of it`];
  if (results.length !== submission.tasks) {
    return [`${key}: ${results.length} results of ${submission.tasks}`];
  }
  return results.flatMap((result, task) => {
    const ok = job.executions.some(
      execution => execution.task === task && execution.succeeded,
    );
    if (!ok) return [`${key}: complete, but task ${task} did not succeed`];
    return result === resultOf(key, submission.body, task)
      ? []
      : [`${key}: result ${task} is ${String(result)}`];
  });
}

/**
 * A request refused with `not_run` was not started and is not started later.
 * A new request with the same body after the refusal stands for itself.
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

/** A submission with another body than the stored one must be refused. */
function checkSameBody({
  key,
  stored,
  submissions: submits,
  submissionIndexes: submitOrders,
}: JobHistory): string[] {
  if (!stored || stored.body === '') return [];
  return submits.flatMap(({body, refusal, byLeader}, index) => {
    const isJoined =
      !refusal && byLeader && submitOrders[index]! > stored.index;
    if (!isJoined || body === stored.body) return [];
    return [`${key}: a submission joined a job with another body`];
  });
}
