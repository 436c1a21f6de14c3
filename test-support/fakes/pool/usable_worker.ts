import type {LeasedWorker} from '../../../src/core/pool/lease/leased_worker.js';
import type {Run} from '../../../src/core/pool/lease/run.js';
import {WorkerLease} from '../../../src/core/pool/lease/worker_lease.js';
import {Resources} from '../../../src/core/pool/registry/resources.js';
import type {WorkerReport} from '../../../src/core/pool/registry/worker_report.js';
import {POOL_WORKER_REPORT} from './pool_worker_report.js';

const LEASE_MS = 600;

/**
 * Fake leased worker that accepts starts at once, for tests of decisions on
 * workers without a network.
 */
export function usableWorker(
  id: string,
  report: Partial<WorkerReport> = {},
): LeasedWorker {
  const capacity = {cpu: 16_000, memoryMb: 64_000, accelerators: 0};
  const runs = new Map<string, Run>();
  const worker = {
    report: {...POOL_WORKER_REPORT, service: 'svc', capacity, ...report, id},
    runs,
    hasSuspect: false,
    isSilent: false,
    isUsable: () => true,
    lease: new WorkerLease(LEASE_MS),
    start: (run: Run) => void runs.set(run.task, run),
    stop: (run: Run) => void (run.stopRequestedAt = run.sentAt),
    get freeCapacity(): Resources {
      let free = worker.report.capacity;
      for (const run of runs.values()) free = Resources.minus(free, run.demand);
      return free;
    },
  };
  return worker as unknown as LeasedWorker;
}
