import {Command, InvalidArgumentError, Option} from 'commander';
import * as fc from 'fast-check';
import {ConfigRun} from './config_run.js';
import {DocumentRun} from './document_run.js';
import {DocumentScenario} from './document_scenario.js';
import {Scenario} from './scenario.js';

const DEFAULT_RUNS = 200;
/** Limit of printed violations; all of them are counted. */
const MAX_PRINTED = 10;

/** Creates the command `config`, which checks changes under faults. */
export function createConfigCommand(): Command {
  return new Command('config')
    .description('Checks histories of configuration changes under faults.')
    .option('--seed <n>', 'seed of the first scenario', toInteger, 1)
    .option('--runs <n>', 'number of histories', toInteger, DEFAULT_RUNS)
    .addOption(
      new Option('--group <name>', 'which histories')
        .choices(['changes', 'documents', 'overload'])
        .default('changes'),
    )
    .action(({seed, runs, group}: Options) => {
      if (group === 'documents') checkDocuments(seed, runs, false);
      else if (group === 'overload') checkDocuments(seed, runs, true);
      else runCheck(seed, runs);
    });
}

interface Options {
  readonly seed: number;
  readonly runs: number;
  readonly group: string;
}

/**
 * Documents on six core nodes with five voters, under tolerated losses; in addition
 * on an overloaded machine.
 */
function checkDocuments(
  seed: number,
  runs: number,
  isOverloaded: boolean,
): void {
  const counts = new Map<string, number>();
  let violations = 0;
  let acknowledged = 0;
  const scenarios = fc.sample(DocumentScenario.arbitrary, {
    seed,
    numRuns: runs,
  });
  for (const [index, scenario] of scenarios.entries()) {
    const run = new DocumentRun(scenario, {isOverloaded});
    try {
      run.run();
    } catch (err) {
      run.history.violations.push(`exception: ${(err as Error).stack}`);
    }
    for (const [kind, count] of run.counts) {
      counts.set(kind, (counts.get(kind) ?? 0) + count);
    }
    acknowledged += run.history.acknowledged;
    const found = run.history.violations;
    violations += found.length;
    if (found.length > 0 && violations - found.length < MAX_PRINTED) {
      console.log(`history ${index} of seed ${seed}:`);
      for (const violation of found.slice(0, MAX_PRINTED)) {
        console.log(`  ${violation}`);
      }
    }
  }
  const faults = Object.fromEntries([...counts].sort());
  console.log(JSON.stringify({runs, seed, acknowledged, faults, violations}));
  if (violations > 0) process.exitCode = 1;
}

function runCheck(seed: number, runs: number): void {
  const counts = new Map<string, number>();
  let violations = 0;
  let accepted = 0;
  let orders = 0;
  const scenarios = fc.sample(Scenario.arbitrary, {seed, numRuns: runs});
  for (const [index, scenario] of scenarios.entries()) {
    const run = new ConfigRun(scenario);
    try {
      run.run();
    } catch (err) {
      run.history.report(`exception: ${(err as Error).stack}`);
    }
    for (const [kind, count] of run.counts) {
      counts.set(kind, (counts.get(kind) ?? 0) + count);
    }
    const changes = [...run.history.changes.values()];
    accepted += changes.filter(c => c.accepted !== undefined).length;
    orders += run.orders.acknowledged;
    const found = run.history.violations;
    violations += found.length;
    if (found.length > 0 && violations - found.length < MAX_PRINTED) {
      console.log(`history ${index} of seed ${seed}:`);
      for (const violation of found.slice(0, MAX_PRINTED)) {
        console.log(`  ${violation}`);
      }
    }
  }
  const faults = Object.fromEntries([...counts].sort());
  console.log(
    JSON.stringify({runs, seed, accepted, orders, faults, violations}),
  );
  if (violations > 0) process.exitCode = 1;
}

function toInteger(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value)) return value;
  throw new InvalidArgumentError('expected an integer');
}
