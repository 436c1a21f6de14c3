import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {POOL_WORKER_REPORT} from '../../../../test-support/fakes/pool/pool_worker_report.js';
import {ActiveJob} from '../job/active_job.js';
import {LossCause} from '../lease/loss_cause.js';
import {Run} from '../lease/run.js';
import {CrashPolicy} from './crash_policy.js';
import {CrashWatch} from './crash_watch.js';

const REFUSED = {
  cause: LossCause.leaseExpired,
  bornAt: POOL_WORKER_REPORT.bornAt,
  isRefused: true,
};

function createWatch(): CrashWatch {
  return new CrashWatch({
    observer: {
      recordJobEvent: () => undefined,
      recordStateChange: () => undefined,
      recordResponseTime: () => undefined,
      recordPhase: () => undefined,
      incrementCounter: () => undefined,
    },
    reportLosses: () => undefined,
  });
}

function createTask(id: string) {
  const queue = PoolBench.table().find('h', `/a/${id}`)!;
  const opts = {owner: 'e', queue, token: 1, now: 0};
  const task = new ActiveJob(PoolBench.submission(id), opts).tasks[0]!;
  const demand = {cpu: 1, memoryMb: 1, accelerators: 0};
  task.run = Run.adopted(task.name, 1, demand, 0);
  return task;
}

// Guards against a task that is excused each time it crashes a worker, since an
// innocent suspect happens to run beside it.
test('a task that crashes workers beside suspects is excused only once', () => {
  const watch = createWatch();
  const [suspect, deadly] = [createTask('a'), createTask('b')];
  watch.record({...POOL_WORKER_REPORT, id: 'w0'}, [suspect], REFUSED, 0);
  watch.record(
    {...POOL_WORKER_REPORT, id: 'w1'},
    [suspect, deadly],
    REFUSED,
    1,
  );
  assert.isEmpty(deadly.losses);
  for (const id of ['w2', 'w3']) {
    watch.record({...POOL_WORKER_REPORT, id}, [suspect, deadly], REFUSED, 2);
  }
  assert.isTrue(CrashPolicy.isFatal(deadly.losses));
});
