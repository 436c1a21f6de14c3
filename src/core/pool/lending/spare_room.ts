import {Room} from './room.js';

interface FreeWorker {
  readonly freeCpu: number;
  readonly cpu: number;
}

interface SpareRoomState {
  /** Workers that can be given starts. */
  readonly workers: readonly FreeWorker[];
  /** Tasks of the dispatcher's jobs that have not started. */
  readonly waitingTasks: number;
  /** CPU of a usual task; 0 if not known: a place is then a whole worker. */
  readonly usualCpu: number;
  /** Number of other dispatchers that may use the room. */
  readonly borrowers: number;
}

/**
 * Share of the places that is not lent. It serves the jobs that arrive while an
 * offer is on its way and in force. With a tenth, 0.848 of the jobs of a zone
 * with a burst are on time, with a twentieth 0.851 (`measure -- zones`, one
 * seed, MARGIN_SHARE 0).
 */
const RESERVE_SHARE = 0.05;

/**
 * Computes what a dispatcher can lend: the places for usual tasks that are free,
 * less what its waiting tasks need, less a reserve, divided among the others.
 * Dividing keeps two borrowers from using the same place.
 */
export class SpareRoom {
  constructor(private readonly reserveShare = RESERVE_SHARE) {}

  /** The offer to each of the other dispatchers. */
  offer(state: SpareRoomState): Room {
    const {workers, waitingTasks, borrowers} = state;
    const usualCpu = state.usualCpu || largestOf(workers);
    if (usualCpu <= 0 || borrowers <= 0) return Room.NONE;
    let places = 0;
    let freePlaces = 0;
    let largestTask = 0;
    for (const {freeCpu, cpu} of workers) {
      places += Math.floor(cpu / usualCpu);
      freePlaces += Math.max(0, Math.floor(freeCpu / usualCpu));
      largestTask = Math.max(largestTask, freeCpu);
    }
    const reserve = Math.ceil(places * this.reserveShare);
    const spare = freePlaces - waitingTasks - reserve;
    const share = Math.floor(spare / borrowers);
    return share > 0 ? {cpu: share * usualCpu, largestTask} : Room.NONE;
  }
}

function largestOf(workers: readonly FreeWorker[]): number {
  return workers.reduce((max, {cpu}) => Math.max(max, cpu), 0);
}
