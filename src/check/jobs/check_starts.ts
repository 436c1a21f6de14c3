import type {JobHistory} from './job_history.js';

/** I1 and I5: how often the tasks of one key were started, and when. */
export function checkStarts(job: JobHistory): string[] {
  const violations: string[] = [];
  const {key, runs} = job;
  const mayRepeat = job.submits.some(
    submit => !submit.refusal && submit.repeatable,
  );
  const byTask = new Map<number, JobHistory['runs']>();
  const attempts = new Set<string>();
  for (const run of runs) {
    const ofTask = byTask.get(run.task) ?? [];
    ofTask.push(run);
    byTask.set(run.task, ofTask);
    if (attempts.has(run.attempt)) {
      violations.push(`${key}: attempt ${run.attempt} was started twice`);
    }
    attempts.add(run.attempt);
    if (!job.submits.some(({body}) => body === run.body)) {
      violations.push(`${key}: a body that nobody submitted was started`);
    }
  }
  for (const [task, ofTask] of byTask) {
    if (ofTask.length > 1 && !mayRepeat) {
      violations.push(
        `${key}: task ${task} was started ${ofTask.length} times`,
      );
    }
    for (const [at, run] of ofTask.entries()) {
      const next = ofTask[at + 1];
      if (next && run.endOrder > next.order) {
        violations.push(
          `${key}: task ${task} ran as ${run.attempt} and as ${next.attempt} ` +
            'at the same time',
        );
      }
    }
  }
  if (new Set(runs.map(run => run.body)).size > 1) {
    violations.push(`${key}: tasks of two bodies were started`);
  }
  return violations;
}
