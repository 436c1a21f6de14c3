import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import type {Config} from '../config.js';
import {ConfigState} from '../state/config_state.js';
import type {LogMember} from './log_member.js';
import type {LogMemberId} from './log_member_id.js';

const RETRY_INTERVAL_MS = 500;
/** Answers older than this do not count. */
const MAX_REPLY_AGE_MS = 2_000;
/** 51 bits; the ids travel in every message, so they are short. */
const ID_LENGTH = 10;
const ID_RADIX = 36;

const BootstrapRequest = v.object({storage: v.string()});
const BootstrapReply = v.object({
  storage: v.string(),
  /** The log that the answering folder belongs to. */
  log: v.optional(v.string()),
});

interface LogBootstrapperOptions {
  readonly node: string;
  /** Nodes that vote in a new deployment. */
  readonly voters: readonly string[];
  readonly initial: Config;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  readonly member: () => LogMember | undefined;
}

/**
 * Forms the log at a deployment's first start. Only the first voter does, and
 * only while every voter of the settings answers that its folder is empty; one
 * that lost its disk later is told of the log that exists.
 */
export class LogBootstrapper {
  private readonly replies = new Map<
    string,
    {readonly storage: string; readonly at: number}
  >();
  private nextAttemptAt = 0;

  constructor(private readonly opts: LogBootstrapperOptions) {
    const {peers} = opts;
    peers.onMessage('config.form', (from, body) =>
      this.onBootstrapRequest(from, body),
    );
    peers.onMessage('config.form_reply', (from, body, now) =>
      this.onReply(from, body, now),
    );
  }

  tick(now: number): void {
    const {node, voters, peers} = this.opts;
    const member = this.opts.member();
    if (!member || voters.toSorted()[0] !== node || now < this.nextAttemptAt)
      return;
    if (member.store.persistentState.log !== undefined || member.store.isFailed)
      return;
    this.nextAttemptAt = now + RETRY_INTERVAL_MS;
    const others = voters.filter(id => id !== node);
    const isFresh = (id: string) => {
      const answer = this.replies.get(id);
      return answer !== undefined && now - answer.at <= MAX_REPLY_AGE_MS;
    };
    if (others.every(isFresh)) {
      this.bootstrap(member, others, now);
      return;
    }
    const {storage} = member.id;
    for (const id of others) peers.send(id, 'config.form', {storage});
  }

  private bootstrap(
    member: LogMember,
    others: readonly string[],
    now: number,
  ): void {
    const voters: LogMemberId[] = [
      member.id,
      ...others.map(node => ({
        node,
        storage: this.replies.get(node)!.storage,
      })),
    ];
    const state = ConfigState.initial(this.opts.initial);
    member.bootstrap(
      LogBootstrapper.newId(this.opts.random),
      voters,
      state,
      now,
    );
  }

  /** A new id for a log or a data folder. */
  static newId(random: RandomSource): string {
    const digits = Array.from({length: ID_LENGTH}, () =>
      Math.floor(random.next() * ID_RADIX).toString(ID_RADIX),
    );
    return digits.join('');
  }

  private onBootstrapRequest(from: string, body: unknown): void {
    const member = this.opts.member();
    if (
      !member ||
      !v.is(BootstrapRequest, body) ||
      !member.store.isPersistentStateSynced
    )
      return;
    const {log} = member.store.persistentState;
    const {storage} = member.id;
    this.opts.peers.send(from, 'config.form_reply', {
      storage,
      ...(log === undefined ? {} : {log}),
    });
  }

  private onReply(from: string, body: unknown, now: number): void {
    if (!v.is(BootstrapReply, body)) return;
    if (body.log !== undefined) this.replies.delete(from);
    else this.replies.set(from, {storage: body.storage, at: now});
  }
}
