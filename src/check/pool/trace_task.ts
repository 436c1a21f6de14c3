import type {DeploymentBench} from '../../../test-support/fakes/pool/deployment_bench.js';

/** Changes of state before the first request of a job that are listed. */
const BEFORE_MS = 6_000;

/**
 * Lists what a history did with a task, in the order of time: the requests of its
 * caller, the events at nodes, the orders, its runs, and the state of the nodes.
 */
export function traceTask(bench: DeploymentBench, task: string): string[] {
  const {log, workers} = bench;
  const startedAt = bench.clock.now() - bench.now;
  const job = task.slice(0, task.indexOf('.'));
  const lines: Array<{at: number; text: string}> = [];
  for (const {at, node, event, fields} of log.events) {
    const {job: of, ...others} = fields;
    if (of !== undefined && of !== job) continue;
    if ('task' in others && others['task'] !== task) continue;
    lines.push({at, text: `${node} ${event} ${JSON.stringify(others)}`});
  }
  for (const order of log.orders) {
    if (order.task !== task) continue;
    const {at, node, call, worker, run, token, fault} = order;
    const text = `${node} orders ${call} of run ${run} at ${worker}, token ${token}`;
    lines.push({at, text: `${text}: ${fault}`});
  }
  for (const [id, {history}] of workers) {
    for (const {task: of, run, from, to} of history) {
      if (of !== task) continue;
      lines.push({at: from - startedAt, text: `${id} run ${run} begins`});
      lines.push({at: to - startedAt, text: `${id} run ${run} ends`});
    }
  }
  lines.sort((a, b) => a.at - b.at);
  const first = log.firstSubmittedAt.get(job) ?? 0;
  const last = lines.findLast(({text}) => / run \d+ begins$/.test(text));
  return lines
    .filter(({at}) => at >= first - BEFORE_MS && at <= (last?.at ?? at) + 1_000)
    .map(({at, text}) => `${(at / 1_000).toFixed(3)} ${text}`);
}
