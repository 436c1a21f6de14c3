import type {JobAnswer} from '../../core/job/job_answer.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {JobHistory} from './job_history.js';
import {resultOf} from './result_of.js';

type Complete = Extract<JobAnswer, {status: 'complete'}>;

/** I2, I3 and I4: what callers were told about one key. */
export function checkAnswers(job: JobHistory): string[] {
  const {key, runs} = job;
  const violations = [...checkRefusals(job), ...checkJoins(job)];
  let first: string | undefined;
  for (const {answer} of job.answers) {
    if (answer.key !== key) {
      violations.push(`${key}: got the answer of ${answer.key}`);
    }
    if (answer.status === 'running') {
      if (first !== undefined) violations.push(`${key}: an answer was undone`);
      continue;
    }
    const text = JSON.stringify(answer);
    first ??= text;
    if (text !== first) {
      violations.push(`${key}: answers differ: ${first} and ${text}`);
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
  const submit = job.submits.find(
    ({body, refusal}) =>
      !refusal && results.length > 0 && results[0] === resultOf(key, body, 0),
  );
  if (!submit) return [`${key}: the results belong to no submission of it`];
  if (results.length !== submit.tasks) {
    return [`${key}: ${results.length} results of ${submit.tasks}`];
  }
  return results.flatMap((result, task) => {
    const ok = job.runs.some(run => run.task === task && run.succeeded);
    if (!ok) return [`${key}: complete, but task ${task} did not succeed`];
    return result === resultOf(key, submit.body, task)
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
  job.submits.forEach(({refusal, body}, at) => {
    if (refusal?.outcome !== RunOutcome.notRun) return;
    const order = job.submitOrders[at]!;
    const nextAt = job.submits.findIndex(
      (later, n) => n > at && later.body === body && !later.refusal,
    );
    const until = nextAt < 0 ? Infinity : job.submitOrders[nextAt]!;
    for (const run of job.runs) {
      if (run.body !== body) continue;
      if (run.order < order || run.order < until) {
        violations.push(
          `${job.key}: refused as not_run (${refusal.code}), but started`,
        );
      }
    }
  });
  return violations;
}

/** A submission with another body than the stored one must be refused. */
function checkJoins({
  key,
  stored,
  submits,
  submitOrders,
}: JobHistory): string[] {
  if (!stored || stored.body === '') return [];
  return submits.flatMap(({body, refusal, byLeader}, at) => {
    const isJoined = !refusal && byLeader && submitOrders[at]! > stored.order;
    if (!isJoined || body === stored.body) return [];
    return [`${key}: a submission joined a job with another body`];
  });
}
