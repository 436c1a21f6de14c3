import {Command} from 'commander';
import {checkPool} from './check_pool.js';
import {checkZones} from './check_zones.js';

interface Options {
  readonly seed: string;
  readonly runs: string;
  readonly group: string;
}

/** Command `pool`, which checks generated histories of leased workers. */
export const poolCommand = new Command('pool')
  .description('check the rules on starts over generated histories of the pool')
  .option('--seed <n>', 'seed of the generator', '1')
  .option('--runs <n>', 'number of histories', '500')
  .option(
    '--group <name>',
    'workers, zones for several dispatchers, or leader for one',
    'workers',
  )
  .action(async (opts: Options) => {
    const startedAt = performance.now();
    const [seed, runs] = [Number(opts.seed), Number(opts.runs)];
    const report =
      opts.group === 'zones' || opts.group === 'leader'
        ? await checkZones(seed, runs, opts.group)
        : await checkPool(seed, runs);
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    console.log(`seed ${opts.seed}: ${report.runs} runs in ${seconds} s`);
    if ('jobs' in report) {
      console.log(`jobs: ${report.jobs}, moved: ${report.moved}`);
    } else console.log(`starts: ${report.starts}, crashes: ${report.crashes}`);
    const {counterexample} = report;
    console.log(`violations: ${counterexample?.violations.length ?? 0}`);
    if (!counterexample) return;
    process.exitCode = 1;
    console.log(`counterexample (path ${counterexample.path}):`);
    for (const step of counterexample.steps) console.log(JSON.stringify(step));
    for (const violation of counterexample.violations) console.log(violation);
    if (!('traces' in counterexample)) return;
    for (const line of counterexample.traces.flat()) console.log(line);
  });
