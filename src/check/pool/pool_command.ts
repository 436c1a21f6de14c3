import {Command} from 'commander';
import {checkPool} from './check_pool.js';

interface Options {
  readonly seed: string;
  readonly runs: string;
}

/** Command `pool`, which checks generated histories of leased workers. */
export const poolCommand = new Command('pool')
  .description('check the rules on starts over generated histories of the pool')
  .option('--seed <n>', 'seed of the generator', '1')
  .option('--runs <n>', 'number of histories', '500')
  .action(async (opts: Options) => {
    const startedAt = performance.now();
    const report = await checkPool(Number(opts.seed), Number(opts.runs));
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    console.log(`seed ${opts.seed}: ${report.runs} runs in ${seconds} s`);
    const {starts, crashes, resubmissions} = report;
    console.log(`starts: ${starts}, crashes: ${crashes}`);
    console.log(`resubmissions after a start: ${resubmissions}`);
    const {counterexample} = report;
    console.log(`violations: ${counterexample?.violations.length ?? 0}`);
    if (!counterexample) return;
    process.exitCode = 1;
    console.log(`counterexample (path ${counterexample.path}):`);
    for (const step of counterexample.steps) console.log(JSON.stringify(step));
    for (const violation of counterexample.violations) console.log(violation);
  });
