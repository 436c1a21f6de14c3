import {Command, InvalidArgumentError, Option} from 'commander';
import {OperatorRun} from './operator_run.js';
import {OperatorShape} from './operator_shape.js';
import {printOperatorRun} from './print_operator_run.js';
import {SoakRun} from './soak_run.js';
import {SoakShape} from './soak_shape.js';

const DEFAULT_ROUNDS = 12;

interface Options {
  readonly seed: number;
  readonly seeds: number;
  readonly rounds: number;
  readonly shape: string;
  readonly operator?: boolean;
  readonly program?: string;
  readonly load: number;
}

/** Command `platform`, which soaks the processes that run on the platform. */
export const platformCommand = new Command('platform')
  .description('check real entry and core processes under faults')
  .option('--seed <n>', 'first seed', toInteger, 1)
  .option('--seeds <n>', 'number of seeds', toInteger, 1)
  .option('--rounds <n>', 'rounds of 1 to 3 faults', toInteger, DEFAULT_ROUNDS)
  .addOption(
    new Option('--shape <name>', 'size of the deployment')
      .choices([
        ...new Set([SoakShape, OperatorShape].flatMap(s => Object.keys(s))),
      ])
      .default('small'),
  )
  .option('--operator', 'check confirmed changes of the configuration')
  .option('--program <file>', 'bundle to run, with --operator')
  .option('--load <n>', 'busy loops beside it, with --operator', toInteger, 0)
  .action(async (options: Options) => {
    if (options.operator) return checkOperator(options);
    const {seed: first, seeds, rounds, shape: name} = options;
    if (!SoakShape[name]) throw new Error(`--shape ${name}: with --operator`);
    for (let seed = first; seed < first + seeds; seed += 1) {
      const run = new SoakRun({seed, rounds, shape: SoakShape[name]!});
      await run.run();
      printRun(run, `seed ${seed} ${name} ${rounds} rounds`);
      if (run.history.violations.length > 0) process.exitCode = 1;
    }
  });

async function checkOperator(options: Options): Promise<void> {
  const {seed: first, seeds, rounds, shape: name, program, load} = options;
  const shape = OperatorShape[name];
  if (!shape) throw new Error(`--shape ${name}: not with --operator`);
  for (let seed = first; seed < first + seeds; seed += 1) {
    const run = new OperatorRun({seed, rounds, shape, program, load});
    await run.run();
    const title = `operator seed ${seed} ${name} ${rounds} rounds load ${load}`;
    printOperatorRun(run, title);
    const {violations, invalidAcknowledged, invalidInForce} = run.history;
    const invalid = invalidAcknowledged.size + invalidInForce.size;
    if (violations.length + invalid > 0) process.exitCode = 1;
  }
}

function printRun(run: SoakRun, title: string): void {
  const {history, faults, startedAt, deployment} = run;
  const {violations, jobs, starts} = history;
  const answers = new Map<string, number>();
  for (const {attempts} of jobs.values()) {
    for (const {outcome} of attempts) {
      answers.set(String(outcome), (answers.get(String(outcome)) ?? 0) + 1);
    }
  }
  const counts = [...answers].map(([name, count]) => `${name} ${count}`);
  console.log(
    `${title}: ${violations.length} violations, ` +
      `${faults.faults.length} faults, ${jobs.size} jobs, ${starts} starts; ` +
      `answers: ${counts.join(', ')}`,
  );
  if (violations.length === 0) return;
  console.log(`started ${new Date(startedAt).toISOString()}`);
  for (const {at, text, until} of faults.faults) {
    const times = [at, until ?? NaN].map(t =>
      ((t - startedAt) / 1e3).toFixed(3),
    );
    console.log(`  ${times.join(' to ')} s: ${text}`);
  }
  for (const violation of violations) console.log(violation);
  console.log(`logs: ${deployment.dir}`);
}

function toInteger(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= 0) return value;
  throw new InvalidArgumentError('expected a non-negative integer');
}
