import type {LeasedWorker} from './leased_worker.js';
import type {PoolEntry} from './pool_entry.js';
import type {Run} from './run.js';

/** One task of a job in the pool. */
export interface PoolTask {
  /** Known to the workers. */
  readonly name: string;
  readonly job: PoolEntry;
  readonly step: number;
  state: 'blocked' | 'waiting' | 'running' | 'done';
  run: Run | undefined;
  worker: LeasedWorker | undefined;
  /** Number of the next start; numbers of one task only rise. */
  nextRun: number;
  failures: number;
  /** How often a run was stopped because it took too long. */
  stragglers: number;
}
