import type {ClassConfig} from '../config/class_config.js';
import type {JobRecord} from '../job/job_record.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import {ActiveJob} from './active_job.js';

interface ResumedJob {
  readonly job: ActiveJob;
  /** Indices of the tasks to queue. */
  readonly waiting: readonly number[];
}

/** Target of jobs whose class has been deleted. */
const DELETED_CLASS_TARGET_MS = 60_000;

/**
 * Rebuilds the in-memory state of a job after a failover; undefined if the job
 * has no task to queue and no attempt that may run.
 */
export function resumeJob(
  record: JobRecord,
  classes: Readonly<Record<string, ClassConfig>>,
  now: number,
): ResumedJob | undefined {
  const {spec} = record;
  const config = classes[spec.className] ?? deletedClassConfig(spec.className);
  const job = new ActiveJob(spec, config);
  job.ended = record.status !== 'running';
  const waiting: number[] = [];
  record.tasks.forEach((task, index) => {
    if (task.started) job.countStart(index);
    if (task.open) {
      const attempt = inherit(job, index, task.open, now);
      job.attempts.set(attempt.id, attempt);
    } else if (!job.ended && !task.final) {
      waiting.push(index);
    }
  });
  const isIdle = job.attempts.size === 0 && waiting.length === 0;
  return isIdle ? undefined : {job, waiting};
}

function inherit(
  job: ActiveJob,
  index: number,
  open: NonNullable<JobRecord['tasks'][number]['open']>,
  now: number,
): RunningAttempt {
  const task = job.spec.tasks[index];
  return {
    id: open.attempt,
    key: job.spec.key,
    task: index,
    worker: open.worker,
    incarnation: open.incarnation,
    className: job.spec.className,
    tenant: job.spec.tenant,
    memoryMb: task?.memory_mb ?? job.config.memory_mb,
    accelerators: task?.accelerators ?? job.config.accelerators,
    // The previous leader may have sent the start right after the commit.
    phase: 'sent',
    since: now,
    stopping: false,
  };
}

/** Settings for jobs of a deleted class; forbids retries. */
function deletedClassConfig(name: string): ClassConfig {
  return {
    name,
    target_ms: DELETED_CLASS_TARGET_MS,
    percentile: 99,
    repeatable: false,
    memory_mb: 0,
    accelerators: 0,
  };
}
