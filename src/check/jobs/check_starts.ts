import type {JobHistory} from './job_history.js';

/** Checks invariants I1 and I5: number and overlap of the starts of one job. */
export function checkStarts(job: JobHistory): string[] {
  const violations: string[] = [];
  const {key, executions} = job;
  const mayRepeat = job.submissions.some(
    submission => !submission.refusal && submission.repeatable,
  );
  const executionsByTask = new Map<number, JobHistory['executions']>();
  const attemptIds = new Set<string>();
  for (const execution of executions) {
    const taskExecutions = executionsByTask.get(execution.task) ?? [];
    taskExecutions.push(execution);
    executionsByTask.set(execution.task, taskExecutions);
    if (attemptIds.has(execution.attempt)) {
      violations.push(`${key}: attempt ${execution.attempt} was started twice`);
    }
    attemptIds.add(execution.attempt);
    if (!job.submissions.some(({body}) => body === execution.body)) {
      violations.push(
        `${key}: a task of a body that was not submitted was started`,
      );
    }
  }
  for (const [task, ofTask] of executionsByTask) {
    if (ofTask.length > 1 && !mayRepeat) {
      violations.push(
        `${key}: task ${task} was started ${ofTask.length} times`,
      );
    }
    for (const [index, run] of ofTask.entries()) {
      const next = ofTask[index + 1];
      if (next && run.endIndex > next.index) {
        violations.push(
          `${key}: task ${task} ran as ${run.attempt} and as ${next.attempt} ` +
            'at the same time',
        );
      }
    }
  }
  if (new Set(executions.map(run => run.body)).size > 1) {
    violations.push(`${key}: tasks of two bodies were started`);
  }
  return violations;
}
