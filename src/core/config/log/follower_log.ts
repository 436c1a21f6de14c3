import type {LogStore} from '../storage/log_store.js';
import type {LogMember} from './log_member.js';
import type {LogMessage} from './log_message.js';
import type {LogMemberId} from './log_member_id.js';

/**
 * The follower's side of replication: stores entries and snapshots from the
 * leader and acknowledges them once they are synced to disk.
 */
export class FollowerLog {
  constructor(
    private readonly member: LogMember,
    private readonly store: LogStore,
  ) {}

  /**
   * Whether a candidate's log is at least as up to date as this one, so that it
   * contains every entry that this member has acknowledged.
   */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
    const {store} = this;
    if (lastTerm !== store.lastTerm) return lastTerm > store.lastTerm;
    return lastIndex >= store.lastIndex;
  }

  /** Replies to a leader of an earlier term; the reply carries the new term. */
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
   * Replies immediately with the index synced so far, so that a slow disk does
   * not make this member seem unreachable to the leader. Replies again once the
   * remaining entries are synced.
   */
  private acknowledge(
    to: LogMemberId,
    reply: {ok: boolean; matched: number; last: number; round: number},
  ): void {
    const {store, member} = this;
    const {ok, matched, last, round} = reply;
    const {term} = member;
    const synced = Math.min(matched, store.durableIndex);
    if (store.isVoteSynced) this.reply(to, {ok, match: synced, last, round});
    if (store.isVoteSynced && synced >= matched) return;
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
