import type {RoomOffers} from './room_offers.js';

type OpenOffer = ReturnType<RoomOffers['open']>[number];

/** A job that its home cannot serve in time. */
interface MoveCandidate<Job> {
  readonly job: Job;
  /** Most tasks that wait at once. */
  readonly tasks: number;
  /** CPU of the largest task. */
  readonly taskCpu: number;
  /** Expected sum of the run times of its tasks, in ms. */
  readonly workMs: number;
  /** Expected time from the first start to the end in another zone, in ms. */
  readonly runMs: number;
  /** Time by which the job has to end there. */
  readonly endsBy: number;
  /** Size of what is sent between zones. */
  readonly bytes: number;
  /** Whether its tasks read data of the home zone. */
  readonly hasDataAtHome: boolean;
}

interface Move<Job> {
  readonly job: Job;
  readonly offer: OpenOffer;
  /** What the job takes of the offer. */
  readonly cpu: number;
  /** When the job is expected to have ended at the lender. */
  readonly endsAt: number;
}

/** Messages between a decision at home and the first start at the lender. */
const PATHS_PER_MOVE = 2;
/** Time for handling these messages, on nodes with small processor shares. */
const HANDLING_MS = 5;
/** Differences in size below this do not matter for the cost of a move. */
const BYTES_STEP = 4_096;

/**
 * Decides which of the jobs that are late at home are moved, and where to.
 * Moves are chosen by their cost: jobs without data at home, with few bytes, and
 * with little work, so that the room serves as many jobs as possible.
 */
export class SpilloverPolicy {
  /** `usualCpu` is the size in which tasks are counted; 0 if not known. */
  choose<Job>(
    candidates: ReadonlyArray<MoveCandidate<Job>>,
    offers: readonly OpenOffer[],
    usualCpu: number,
    now: number,
  ): Array<Move<Job>> {
    const left = new Map(offers.map(o => [o, o.cpu]));
    const moves: Array<Move<Job>> = [];
    for (const candidate of [...candidates].sort(compareCost)) {
      const cpu = countRoom(candidate, usualCpu);
      let best: OpenOffer | undefined;
      for (const offer of offers) {
        if (left.get(offer)! < cpu) continue;
        if (endOf(candidate, offer, now) > candidate.endsBy) continue;
        if (candidate.taskCpu > offer.largestTask) continue;
        if (!best || isBetter(offer, best, left)) best = offer;
      }
      if (!best) continue;
      left.set(best, left.get(best)! - cpu);
      const endsAt = endOf(candidate, best, now);
      moves.push({job: candidate.job, offer: best, cpu, endsAt});
    }
    return moves;
  }
}

/** Room that a job uses: a task uses up whole places of the usual size. */
function countRoom(
  {tasks, taskCpu}: MoveCandidate<unknown>,
  usualCpu: number,
): number {
  if (usualCpu <= 0) return tasks * taskCpu;
  return tasks * Math.ceil(taskCpu / usualCpu) * usualCpu;
}

/** Expected end of a job that is moved now. */
function endOf(
  {runMs}: MoveCandidate<unknown>,
  {pathMs}: OpenOffer,
  now: number,
): number {
  return now + HANDLING_MS + PATHS_PER_MOVE * pathMs + runMs;
}

/** The shortest path, and of equally long ones the offer with most room. */
function isBetter(
  a: OpenOffer,
  b: OpenOffer,
  left: ReadonlyMap<OpenOffer, number>,
): boolean {
  if (a.pathMs !== b.pathMs) return a.pathMs < b.pathMs;
  return left.get(a)! > left.get(b)!;
}

function compareCost(
  a: MoveCandidate<unknown>,
  b: MoveCandidate<unknown>,
): number {
  if (a.hasDataAtHome !== b.hasDataAtHome) return a.hasDataAtHome ? 1 : -1;
  const steps = ({bytes}: MoveCandidate<unknown>) =>
    Math.floor(bytes / BYTES_STEP);
  return steps(a) - steps(b) || a.workMs - b.workMs;
}
