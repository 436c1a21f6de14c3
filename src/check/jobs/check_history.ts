import {checkAnswers} from './check_answers.js';
import {checkStarts} from './check_starts.js';
import {checkWorkers} from './check_workers.js';
import type {HistoryEvent} from './history_event.js';
import {JobHistory} from './job_history.js';

/** Returns all violations of the job invariants in one history. */
export function checkHistory(history: readonly HistoryEvent[]): string[] {
  const jobs = collectJobs(history);
  const violations = checkWorkers(history);
  for (const job of jobs.values()) {
    violations.push(...checkStarts(job), ...checkAnswers(job));
  }
  return violations;
}

function collectJobs(
  history: readonly HistoryEvent[],
): Map<string, JobHistory> {
  const jobs = new Map<string, JobHistory>();
  const executions = new Map<string, JobHistory['executions'][number]>();
  const jobOf = (key: string) => {
    const job = jobs.get(key) ?? new JobHistory(key);
    jobs.set(key, job);
    return job;
  };
  history.forEach((event, index) => {
    switch (event.kind) {
      case 'submit':
        jobOf(event.key).submissions.push(event);
        jobOf(event.key).submissionIndexes.push(index);
        return;
      case 'cancel':
        jobOf(event.key).cancelled = true;
        return;
      case 'committed':
        jobOf(event.key).committed = true;
        jobOf(event.key).stored ??= {body: event.body, index};
        return;
      case 'answer':
        jobOf(event.key).answers.push(event);
        return;
      case 'start': {
        const run = {...event, index, endIndex: Infinity, succeeded: false};
        jobOf(event.key).executions.push(run);
        executions.set(executionId(event), run);
        return;
      }
      case 'end': {
        const run = executions.get(executionId(event));
        if (!run || run.endIndex !== Infinity) return;
        run.endIndex = index;
        run.succeeded = event.succeeded;
        return;
      }
      case 'memory_lost':
        for (const job of jobs.values()) job.hasLostState = true;
        return;
    }
  });
  return jobs;
}

function executionId(event: {
  readonly attempt: string;
  readonly worker: string;
  readonly incarnation: string;
}): string {
  return `${event.worker}/${event.incarnation}/${event.attempt}`;
}
