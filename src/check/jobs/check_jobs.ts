import * as fc from 'fast-check';
import {checkHistory} from './check_history.js';
import type {GroupKind} from './group_kind.js';
import type {HistoryEvent} from './history_event.js';
import type {Mutation} from './mutation.js';
import {runSteps} from './run_steps.js';
import type {Step} from './step.js';
import {stepsArbitrary} from './steps_arbitrary.js';

interface CheckOptions {
  readonly seed: number;
  readonly runs: number;
  readonly mutation?: Mutation;
  /** Default: `GroupKind.fake`. */
  readonly group?: GroupKind;
  /** Whether to shrink a counterexample. Default: true. */
  readonly shrinks?: boolean;
}

interface Counterexample {
  readonly steps: readonly Step[];
  readonly violations: readonly string[];
  readonly history: readonly HistoryEvent[];
  readonly path: string;
}

interface CheckReport {
  readonly runs: number;
  readonly starts: number;
  /** Number of steps in all runs, by kind. */
  readonly steps: ReadonlyMap<string, number>;
  /** Number of first final answers, by status and outcome. */
  readonly answers: ReadonlyMap<string, number>;
  readonly counterexample: Counterexample | undefined;
}

/** Generates runs, checks their histories, and shrinks the first failure. */
export function checkJobs({
  seed,
  runs,
  mutation,
  group,
  shrinks = true,
}: CheckOptions): CheckReport {
  const steps = new Map<string, number>();
  const answers = new Map<string, number>();
  let runCount = 0;
  let starts = 0;
  let isShrinking = false;
  const property = fc.property(stepsArbitrary, generated => {
    const history = runSteps(generated, mutation, group);
    const isValid = checkHistory(history).length === 0;
    if (isShrinking) return isValid;
    isShrinking = !isValid;
    runCount += 1;
    for (const {action} of generated) increment(steps, action.kind);
    const answered = new Set<string>();
    for (const event of history) {
      if (event.kind === 'start') starts += 1;
      if (event.kind !== 'answer') continue;
      if (event.answer.status === 'running') continue;
      if (answered.has(event.key)) continue;
      answered.add(event.key);
      const {answer} = event;
      const outcome = 'outcome' in answer ? ` ${answer.outcome}` : '';
      increment(answers, `${answer.status}${outcome}`);
    }
    return isValid;
  });
  const result = fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure: !shrinks,
  });
  const failingSteps = result.counterexample?.[0];
  const history = failingSteps && runSteps(failingSteps, mutation, group);
  return {
    runs: runCount,
    starts,
    steps,
    answers,
    counterexample: failingSteps &&
      history && {
        steps: failingSteps,
        violations: checkHistory(history),
        history,
        path: result.counterexamplePath ?? '',
      },
  };
}

function increment(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
