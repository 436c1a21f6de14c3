import {Command, Option} from 'commander';
import {checkJobs} from './check_jobs.js';
import {GroupKind} from './group_kind.js';

interface Options {
  readonly seed: string;
  readonly runs: string;
  readonly group: GroupKind;
  readonly history?: boolean;
}

/** Command `jobs`, which checks generated histories of the dispatcher. */
export const jobsCommand = new Command('jobs')
  .description('check the invariants on jobs over generated histories')
  .option('--seed <n>', 'seed of the generator', '1')
  .option('--runs <n>', 'number of histories', '2000')
  .addOption(
    new Option('--group <kind>', 'what replicates the events')
      .choices(Object.values(GroupKind))
      .default(GroupKind.fake),
  )
  .option('--history', 'print the history of a counterexample')
  .action((opts: Options) => {
    const seed = Number(opts.seed);
    const startedAt = performance.now();
    const {group, runs} = opts;
    const report = checkJobs({seed, runs: Number(runs), group});
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    console.log(`seed ${seed}: ${report.runs} runs in ${seconds} s`);
    console.log(`starts: ${report.starts}`);
    console.log(`steps: ${format(report.steps)}`);
    console.log(`answers: ${format(report.answers)}`);
    const {counterexample} = report;
    console.log(`violations: ${counterexample?.violations.length ?? 0}`);
    if (!counterexample) return;
    process.exitCode = 1;
    console.log(`counterexample (seed ${seed}, path ${counterexample.path}):`);
    for (const step of counterexample.steps) console.log(JSON.stringify(step));
    for (const violation of counterexample.violations) console.log(violation);
    if (!opts.history) return;
    for (const event of counterexample.history) {
      console.log(JSON.stringify(event));
    }
  });

function format(counts: ReadonlyMap<string, number>): string {
  return [...counts]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}
