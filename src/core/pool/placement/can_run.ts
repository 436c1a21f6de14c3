import type {PoolTask} from '../job/pool_task.js';
import {Resources} from '../registry/resources.js';
import type {WorkerReport} from '../registry/worker_report.js';

/** Whether a worker may run a task if these resources of it are available. */
export function canRun(
  task: PoolTask,
  {service, labels}: WorkerReport,
  available: Resources,
): boolean {
  const {queue, spec} = task.job;
  const {demand, requiredLabel} = spec.steps[task.step]!;
  if (service !== queue.service) return false;
  if (requiredLabel && !labels.includes(requiredLabel)) return false;
  return Resources.isWithin(demand, available);
}
