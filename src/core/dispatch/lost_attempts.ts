import type {RunningAttempt} from '../worker/running_attempt.js';

interface LostAttempt {
  readonly attempt: RunningAttempt;
  /** Epoch milliseconds from which on the attempt cannot run any more. */
  readonly overAt: number;
}

/**
 * Sent attempts on workers that this dispatcher does not know under the
 * attempt's incarnation. Each either is found again or is over with the lease.
 */
export class LostAttempts {
  private readonly workers = new Map<string, LostAttempt[]>();

  add(attempt: RunningAttempt, overAt: number): void {
    const lost = this.workers.get(attempt.worker) ?? [];
    lost.push({attempt, overAt});
    this.workers.set(attempt.worker, lost);
  }

  /** Takes out the attempts of a worker whose incarnation is known. */
  takeFound(worker: string, incarnation: string): RunningAttempt[] {
    return this.take(
      worker,
      ({attempt}) => attempt.incarnation === incarnation,
    );
  }

  /** Takes out the attempts of all other incarnations of a worker. */
  takeReplaced(worker: string, incarnation: string): RunningAttempt[] {
    return this.take(
      worker,
      ({attempt}) => attempt.incarnation !== incarnation,
    );
  }

  /** Takes out one attempt that a late report names. */
  takeReported(
    worker: string,
    incarnation: string,
    id: string,
  ): RunningAttempt | undefined {
    const [attempt] = this.take(
      worker,
      lost =>
        lost.attempt.id === id && lost.attempt.incarnation === incarnation,
    );
    return attempt;
  }

  /** Takes out the attempts whose lease has ended. */
  takeOver(now: number): RunningAttempt[] {
    return [...this.workers.keys()].flatMap(worker =>
      this.take(worker, ({overAt}) => overAt <= now),
    );
  }

  clear(): void {
    this.workers.clear();
  }

  private take(
    worker: string,
    matches: (lost: LostAttempt) => boolean,
  ): RunningAttempt[] {
    const lost = this.workers.get(worker);
    if (!lost) return [];
    const rest = lost.filter(one => !matches(one));
    if (rest.length > 0) this.workers.set(worker, rest);
    else this.workers.delete(worker);
    return lost.filter(matches).map(({attempt}) => attempt);
  }
}
