import {Result} from 'true-myth';
import type {ChangeOutcome} from '../state/change_outcome.js';
import type {ChangeRefusal} from '../state/change_refusal.js';
import {ConfigState} from '../state/config_state.js';
import type {LogStore} from '../storage/log_store.js';
import type {LogEntry} from './log_entry.js';
import type {LogSnapshot} from './log_snapshot.js';

const DEFAULT_SNAPSHOT_ENTRIES = 256;

type Decision = Result<ChangeOutcome, ChangeRefusal>;

/** Applies committed entries to the state machine and compacts the log. */
export class LogApplier {
  private currentState: ConfigState | undefined;
  private commit = 0;
  private applied = 0;

  constructor(
    private readonly store: LogStore,
    private readonly snapshotEntries = DEFAULT_SNAPSHOT_ENTRIES,
  ) {
    this.restoreFromSnapshot();
  }

  /** State machine; undefined before the member has joined a log. */
  get state(): ConfigState | undefined {
    return this.currentState;
  }

  get commitIndex(): number {
    return this.commit;
  }

  /** Resets the state machine and the commit index to the store's snapshot. */
  restoreFromSnapshot(): void {
    const {snapshot} = this.store;
    if (!snapshot) return;
    this.currentState = ConfigState.from(snapshot.state);
    this.commit = snapshot.index;
    this.applied = snapshot.index;
  }

  /** Applies entries up to `index`; returns false if none is new. */
  advance(
    index: number,
    onApplied: (index: number, decision: Decision | undefined) => void,
  ): boolean {
    const end = Math.min(index, this.store.lastIndex);
    if (end <= this.commit) return false;
    this.commit = end;
    while (this.applied < this.commit) {
      this.applied += 1;
      const {body} = this.store.entry(this.applied)!;
      onApplied(this.applied, this.decide(body));
    }
    return true;
  }

  compactIfNeeded(): void {
    const {store, applied} = this;
    if (applied - store.baseIndex < this.snapshotEntries) return;
    store.compact(this.createSnapshot());
    store.whenDurable(() => undefined);
  }

  /** Snapshot of the applied entries; there must be a state. */
  createSnapshot(): LogSnapshot {
    const {store, applied} = this;
    return {
      index: applied,
      term: store.termAt(applied)!,
      members: store.membersAt(applied),
      state: this.currentState!.toSnapshot(),
    };
  }

  private decide(body: LogEntry['body']): Decision | undefined {
    switch (body.kind) {
      case 'change':
        return this.currentState!.apply(body.change);
      case 'publish':
        return Result.ok(this.currentState!.publish(body.document));
      case 'evacuation':
        return this.currentState!.evacuate(body.order);
      default:
        return undefined;
    }
  }
}
