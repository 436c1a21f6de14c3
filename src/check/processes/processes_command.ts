import {Command, InvalidArgumentError} from 'commander';
import {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import {Fault} from './fault.js';
import {FaultDriver} from './fault_driver.js';
import {ProcessBench} from './process_bench.js';

const DEFAULT_ROUNDS = 12;
const MAX_ROUNDS = 200;
/** Limit for the time from a kill to the first start by the new dispatcher. */
const TAKEOVER_GOAL_MS = 2_000;
/** Time limit for the answers of jobs that are open when the faults end. */
const ANSWERS_TIMEOUT_MS = 60_000;
const MIN_GAP_MS = 300;
const MAX_GAP_MS = 1_500;

interface Options {
  readonly seed: number;
  readonly rounds: number;
}

/** Command `processes`, which checks real daemons under faults. */
export const processesCommand = new Command('processes')
  .description('check the invariants on real daemons under faults')
  .option('--seed <n>', 'seed of faults and load', toInteger, 1)
  .option('--rounds <n>', 'number of faults', toInteger, DEFAULT_ROUNDS)
  .action(async ({seed, rounds}: Options) => {
    const startedAt = performance.now();
    // Faults have their own generator, because the load draws in an order that
    // depends on timing.
    const random = new SeededRandom(seed);
    const bench = await ProcessBench.start(seed);
    const driver = new FaultDriver(bench, random);
    const violations: string[] = driver.violations;
    try {
      for (const fault of plan(random, Math.min(rounds, MAX_ROUNDS))) {
        const gapMs = random.floatBetween(MIN_GAP_MS, MAX_GAP_MS);
        await new Promise(resolve => setTimeout(resolve, gapMs));
        await driver.inject(fault);
      }
      const result = await bench.finish(ANSWERS_TIMEOUT_MS);
      violations.push(...result.violations);
      const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
      console.log(`seed ${seed}: ${rounds} rounds in ${seconds} s`);
      const {starts} = bench.history;
      const lent = starts.filter(start => start.isLent).length;
      console.log(`jobs: ${result.jobs}`);
      console.log(`starts: ${starts.length}, on lent slots ${lent}`);
      console.log(`answers: ${format(bench.history.countAnswers())}`);
      console.log(`accepted changes: ${bench.configClient.accepted}`);
    } catch (err) {
      violations.push((err as Error).message);
    } finally {
      await bench.stop();
    }
    console.log(`faults: ${format(driver.counts)}`);
    console.log(`requests open at SIGTERM: ${bench.requests.openAtSigterm}`);
    for (const {fault, zone, ms} of driver.takeovers) {
      console.log(`takeover after ${fault} in ${zone}: ${ms} ms`);
      if (fault === Fault.stopDispatcher || ms <= TAKEOVER_GOAL_MS) continue;
      violations.push(
        `${zone}: ${ms} ms to the first start by the new dispatcher`,
      );
    }
    console.log(`violations: ${violations.length}`);
    for (const violation of violations) console.log(violation);
    if (violations.length > 0) process.exitCode = 1;
  });

function format(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name} ${count}`).join(', ');
}

/** Draws the faults so that each kind occurs once before any is repeated. */
function plan(random: SeededRandom, rounds: number): Fault[] {
  const faults: Fault[] = [];
  while (faults.length < rounds) {
    const left = Object.values(Fault);
    while (left.length > 0) {
      faults.push(...left.splice(random.integerBelow(left.length), 1));
    }
  }
  return faults.slice(0, rounds);
}

function toInteger(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= 0) return value;
  throw new InvalidArgumentError('expected a non-negative integer');
}
