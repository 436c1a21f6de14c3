interface Needs {
  readonly cpu: number;
  /** Slowness up to which a worker is of use. */
  readonly maxSlowness: number;
}

/** What did not fit in one pass, so that no task that needs more is tried. */
export class UnplacedTasks {
  private readonly byKind = new Map<string, Needs[]>();

  add(kind: string, needs: Needs): void {
    const known = this.byKind.get(kind) ?? [];
    const kept = known.filter(each => !isAtLeast(each, needs));
    this.byKind.set(kind, [...kept, needs]);
  }

  /** Whether a task of the kind that needs no more did not fit. */
  includes(kind: string, needs: Needs): boolean {
    const known = this.byKind.get(kind);
    return known?.some(each => isAtLeast(needs, each)) ?? false;
  }
}

/** Whether `a` needs as much CPU as `b` and at least as fast a worker. */
function isAtLeast(a: Needs, b: Needs): boolean {
  return a.cpu >= b.cpu && a.maxSlowness <= b.maxSlowness;
}
