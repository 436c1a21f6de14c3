import type {ZonePools} from './zone_pools.js';

type Outcome = Awaited<ReturnType<ZonePools['run']>>[number];

interface Run {
  readonly outcomes: readonly Outcome[];
  readonly moves: number;
  readonly lentRefusals: number;
}

/** Objective of section 0: 1.6 times the run time, and 60 ms. */
const STRETCH = 1.6;
const TARGET_MS = 60;
const DIGITS = 4;

/** Shares of jobs on time of all seeds together. */
export function summarizeOutcomes(runs: readonly Run[]): object {
  const all = runs.flatMap(({outcomes}) => outcomes);
  const byZone = groupBy(all, ({job}) => `${job.zone}`);
  const byKind = groupBy(all, ({job}) => job.queue);
  const bySecond = groupBy(all, ({job}) => `${Math.floor(job.atMs / 1_000)}`);
  const shares = (groups: ReadonlyMap<string, Outcome[]>) =>
    [...groups.values()].map(shareOnTime);
  const sum = (valueOf: (run: Run) => number) =>
    runs.reduce((total, run) => total + valueOf(run), 0);
  return {
    all: rounded(shareOnTime(all)),
    worstZone: rounded(Math.min(...shares(byZone))),
    worstKind: rounded(Math.min(...shares(byKind))),
    worstSecond: rounded(Math.min(...shares(bySecond))),
    refused: rounded(
      all.filter(({kind}) => kind === 'refused').length / all.length,
    ),
    moved: rounded(sum(({moves}) => moves) / all.length),
    lentRefused: sum(({lentRefusals}) => lentRefusals),
    jobs: all.length,
  };
}

function groupBy(
  all: readonly Outcome[],
  keyOf: (one: Outcome) => string,
): Map<string, Outcome[]> {
  const groups = new Map<string, Outcome[]>();
  for (const one of all) {
    const key = keyOf(one);
    const group = groups.get(key);
    if (group) group.push(one);
    else groups.set(key, [one]);
  }
  return groups;
}

function shareOnTime(all: readonly Outcome[]): number {
  const onTime = all.filter(
    ({job, kind, tookMs}) =>
      kind === 'completed' && tookMs <= STRETCH * job.taskMs + TARGET_MS,
  );
  return onTime.length / all.length;
}

function rounded(value: number): number {
  return Number(value.toFixed(DIGITS));
}
