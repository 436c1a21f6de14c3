import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import type {Config} from '../config.js';
import {ConfigState} from '../state/config_state.js';
import type {LogMember} from './log_member.js';
import type {LogMemberId} from './log_member_id.js';

const RETRY_INTERVAL_MS = 500;
/** Replies older than this are not counted. */
const MAX_REPLY_AGE_MS = 2_000;
/** About 51 bits; ids are short because every message carries several. */
const ID_LENGTH = 10;
const ID_RADIX = 36;

const Request = v.object({storage: v.string()});
const Reply = v.object({
  storage: v.string(),
  /** Id of the log that the replying node stores or follows, if any. */
  log: v.optional(v.string()),
  /** Whether the process of the replying node may create a new log. */
  mayForm: v.optional(v.boolean(), false),
});

interface LogBootstrapperOptions {
  readonly node: string;
  /** Initial voters of a new deployment. */
  readonly voters: readonly string[];
  /** Whether this process may create a new log. Default true. */
  readonly mayForm?: boolean;
  readonly initial: Config;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  readonly member: () => LogMember | undefined;
  /** Id of the log whose configuration is in force on this node, if any. */
  readonly followedLog: () => string | undefined;
}

/**
 * Creates the log at the first start of a deployment. Only the voter whose id
 * sorts first does so, and only while every configured voter replies that its
 * folder belongs to no log. After it has lost its disk, the first voter cannot
 * create a second log, because the others report the existing one.
 *
 * One process of a voter must have been told that the deployment starts for the
 * first time. It need not be that of the first voter, which may have been started
 * again since. Nodes that follow a log without storing it report it as well: the
 * settings of a later process may name them as voters.
 */
export class LogBootstrapper {
  private readonly replies = new Map<
    string,
    {
      readonly storage: string;
      readonly mayForm: boolean;
      readonly at: number;
    }
  >();
  private retryAt = 0;

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
    const self = this.opts.member();
    if (!self || voters.toSorted()[0] !== node || now < this.retryAt) return;
    if (this.knownLog(self) !== undefined || self.store.isFailed) return;
    this.retryAt = now + RETRY_INTERVAL_MS;
    const others = voters.filter(id => id !== node);
    const isFresh = (id: string) => {
      const reply = this.replies.get(id);
      return reply !== undefined && now - reply.at <= MAX_REPLY_AGE_MS;
    };
    const {mayForm = true} = this.opts;
    const mayAnyForm =
      mayForm || others.some(id => this.replies.get(id)?.mayForm);
    if (mayAnyForm && others.every(isFresh)) {
      this.bootstrap(self, others, now);
      return;
    }
    const {storage} = self.id;
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

  /** Generates an id for a log or a data folder. */
  static newId(random: RandomSource): string {
    const digits = Array.from({length: ID_LENGTH}, () =>
      Math.floor(random.next() * ID_RADIX).toString(ID_RADIX),
    );
    return digits.join('');
  }

  private onBootstrapRequest(from: string, body: unknown): void {
    const member = this.opts.member();
    if (!member || !v.is(Request, body) || !member.store.isVoteSynced) return;
    const log = this.knownLog(member);
    const {storage} = member.id;
    const {mayForm = true, peers} = this.opts;
    peers.send(from, 'config.form_reply', {
      storage,
      mayForm,
      ...(log === undefined ? {} : {log}),
    });
  }

  private knownLog(member: LogMember): string | undefined {
    return member.store.voteState.log ?? this.opts.followedLog();
  }

  private onReply(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(Reply, body);
    if (!parsed.success) return;
    const {storage, log, mayForm} = parsed.output;
    if (log !== undefined) this.replies.delete(from);
    else this.replies.set(from, {storage, mayForm, at: now});
  }
}
