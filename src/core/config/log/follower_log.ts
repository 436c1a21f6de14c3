import type {LogStore} from '../storage/log_store.js';
import type {LogMember} from './log_member.js';
import type {LogMessage} from './log_message.js';
import type {LogMemberId} from './log_member_id.js';

/** Takes entries and snapshots of the leader and acknowledges synced ones. */
export class FollowerLog {
  constructor(
    private readonly member: LogMember,
    private readonly store: LogStore,
  ) {}

  /** Whether a candidate's log holds all that this one may have promised. */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
    const {store} = this;
    if (lastTerm !== store.lastTerm) return lastTerm > store.lastTerm;
    return lastIndex >= store.lastIndex;
  }

  /** Tells a leader of an earlier term about the present one. */
  rejectStaleTerm(to: LogMemberId, round: number): void {
    this.reply(to, {ok: false, match: 0, last: 0, round});
  }

  onAppend(
    to: LogMemberId,
    msg: Extract<LogMessage, {type: 'append'}>,
    now: number,
  ): void {
    const {store} = this;
    const {round, prev_index: prevIndex, entries = []} = msg;
    const prevTerm = store.termAt(prevIndex);
    const isKnown = prevIndex < store.baseIndex || prevTerm === msg.prev_term;
    if (!isKnown) {
      const last = Math.min(store.lastIndex, prevIndex - 1);
      this.acknowledge(to, {ok: false, matched: 0, last, round});
      return;
    }
    for (const [at, entry] of entries.entries()) {
      if (entry.index <= store.baseIndex) continue;
      const known = store.termAt(entry.index);
      if (known === entry.term) continue;
      if (known !== undefined) store.truncateFrom(entry.index);
      store.append(entries.slice(at));
      break;
    }
    const matched = prevIndex + entries.length;
    this.member.advanceCommit(Math.min(msg.commit, matched), now);
    this.acknowledge(to, {ok: true, matched, last: matched, round});
  }

  onSnapshot(
    to: LogMemberId,
    msg: Extract<LogMessage, {type: 'snapshot'}>,
    now: number,
  ): void {
    const {snapshot, round} = msg;
    if (snapshot.index > this.member.commitIndex) {
      this.store.compact(snapshot);
      this.member.restoreFromSnapshot(now);
    }
    const matched = snapshot.index;
    this.acknowledge(to, {ok: true, matched, last: matched, round});
  }

  /**
   * Answers at once with what is synced, so that a slow disk does not make the
   * leader think this member is gone, and again when the rest is.
   */
  private acknowledge(
    to: LogMemberId,
    reply: {ok: boolean; matched: number; last: number; round: number},
  ): void {
    const {store, member} = this;
    const {ok, matched, last, round} = reply;
    const {term} = member;
    const synced = Math.min(matched, store.durableIndex);
    if (store.isPersistentStateSynced)
      this.reply(to, {ok, match: synced, last, round});
    if (store.isPersistentStateSynced && synced >= matched) return;
    store.whenDurable(() => {
      if (member.term !== term) return;
      this.reply(to, {ok, match: matched, last, round});
    });
  }

  private reply(
    to: LogMemberId,
    body: {ok: boolean; match: number; last: number; round: number},
  ): void {
    this.member.send<'append_reply'>(to, {type: 'append_reply', ...body});
  }
}
