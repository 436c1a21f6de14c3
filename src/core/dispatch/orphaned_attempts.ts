import type {RunningAttempt} from '../worker/running_attempt.js';

interface OrphanedAttempt {
  readonly attempt: RunningAttempt;
  /** Epoch milliseconds at which the lease ends, and with it the attempt. */
  readonly expiresAt: number;
}

/**
 * Sent attempts whose worker incarnation is not registered with this
 * dispatcher. An attempt leaves when its incarnation announces itself, is
 * replaced or reports the outcome, or when the lease expires.
 */
export class OrphanedAttempts {
  private readonly workers = new Map<string, OrphanedAttempt[]>();

  add(attempt: RunningAttempt, expiresAt: number): void {
    const orphans = this.workers.get(attempt.worker) ?? [];
    orphans.push({attempt, expiresAt});
    this.workers.set(attempt.worker, orphans);
  }

  /** Takes out the attempts of one incarnation of a worker. */
  takeOf(worker: string, incarnation: string): RunningAttempt[] {
    return this.take(
      worker,
      ({attempt}) => attempt.incarnation === incarnation,
    );
  }

  /** Takes out the attempts of all other incarnations of a worker. */
  takeOthers(worker: string, incarnation: string): RunningAttempt[] {
    return this.take(
      worker,
      ({attempt}) => attempt.incarnation !== incarnation,
    );
  }

  /** Takes out the attempt of a late report. */
  takeReported(
    worker: string,
    incarnation: string,
    id: string,
  ): RunningAttempt | undefined {
    const [attempt] = this.take(
      worker,
      orphan =>
        orphan.attempt.id === id && orphan.attempt.incarnation === incarnation,
    );
    return attempt;
  }

  /** Takes out the attempts whose lease has expired. */
  takeExpired(now: number): RunningAttempt[] {
    return [...this.workers.keys()].flatMap(worker =>
      this.take(worker, ({expiresAt}) => expiresAt <= now),
    );
  }

  clear(): void {
    this.workers.clear();
  }

  private take(
    worker: string,
    matches: (orphan: OrphanedAttempt) => boolean,
  ): RunningAttempt[] {
    const orphans = this.workers.get(worker);
    if (!orphans) return [];
    const rest = orphans.filter(one => !matches(one));
    if (rest.length > 0) this.workers.set(worker, rest);
    else this.workers.delete(worker);
    return orphans.filter(matches).map(({attempt}) => attempt);
  }
}
