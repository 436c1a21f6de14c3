import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';
import type {TaskMix} from './task_mix.js';
import type {TraceJob} from './trace_job.js';

interface Stream {
  readonly className: string;
  /** Jobs go to the tenants in equal parts. Default: one tenant. */
  readonly tenants?: readonly string[];
  readonly mix: TaskMix;
  /** Slots that the stream keeps busy on average. */
  readonly slots: number;
  readonly fromMs?: number;
  readonly toMs: number;
  readonly isFlood?: boolean;
  /** Time of the cancel of a job that came at `atMs`, if it is cancelled. */
  readonly cancelAt?: (
    atMs: number,
    random: SeededRandom,
  ) => number | undefined;
}

/** Draws the jobs of independent Poisson streams, in order of time. */
export function makeTrace(
  streams: readonly Stream[],
  random: SeededRandom,
): TraceJob[] {
  return streams
    .flatMap(stream => drawStream(stream, random))
    .sort((a, b) => a.atMs - b.atMs);
}

/**
 * Arrival times are scaled so that the work drawn is the work asked for: a few
 * large jobs would otherwise decide how high the load really is.
 */
function drawStream(stream: Stream, random: SeededRandom): TraceJob[] {
  const {mix, tenants = ['default'], fromMs = 0, isFlood = false} = stream;
  const gapMs = (mix.meanTasks * mix.meanRunMs) / stream.slots;
  const drawn: Array<{at: number; taskMs: number[]}> = [];
  let workMs = 0;
  let end = 0;
  while (end < stream.toMs - fromMs) {
    end += random.exponential(gapMs);
    const taskMs = mix.draw(random);
    for (const ms of taskMs) workMs += ms;
    drawn.push({at: end, taskMs});
  }
  const scale = workMs / stream.slots / end;
  return drawn
    .map(({at, taskMs}) => ({at: fromMs + at * scale, taskMs}))
    .filter(({at}) => at < stream.toMs)
    .map(({at, taskMs}) => ({
      atMs: at,
      className: stream.className,
      tenant: tenants[random.integerBetween(0, tenants.length - 1)]!,
      taskMs,
      cancelAtMs: stream.cancelAt?.(at, random),
      isFlood,
    }));
}
