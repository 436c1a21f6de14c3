import * as v from 'valibot';
import type {Cancellable} from '../clock/cancellable.js';
import type {Clock} from '../clock/clock.js';
import type {JobEvent} from '../job/job_event.js';
import type {JobTable} from '../job/job_table.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RandomSource} from '../random/random_source.js';
import {CandidateRole} from './candidate_role.js';
import {GroupHeartbeat} from './group_heartbeat.js';
import {GroupHeartbeatReply} from './group_heartbeat_reply.js';
import {GroupMessage} from './group_message.js';
import {GroupTiming} from './group_timing.js';
import {LeaderRole} from './leader_role.js';
import {LearnerRole} from './learner_role.js';
import {LogFollower} from './log_follower.js';
import {ReplicaCore} from './replica_core.js';
import {Replicator} from './replicator.js';
import type {Role} from './role.js';
import {VoteResponder} from './vote_responder.js';

interface GroupReplicaOptions {
  readonly zone: string;
  readonly node: string;
  /** Nodes of all configured members, in the same order on each of them. */
  readonly members: readonly string[];
  /** Members that vote and replicate, but never become leader. */
  readonly witnesses: readonly string[];
  /** Replicated jobs; the source and target of snapshots. */
  readonly table: JobTable;
  readonly peers: PeerTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
}

interface GroupStatus {
  readonly role: Role['name'] | 'stopped';
  readonly epoch: number;
  readonly leader: string | undefined;
  /** Whether votes and acknowledgements of this incarnation count. */
  readonly isVoter: boolean;
  readonly isLeading: boolean;
  /** Epoch in which the group formed; undefined until that is committed. */
  readonly group: number | undefined;
  /** Nodes of the voters. */
  readonly members: readonly string[];
  /** Index of the last log entry, committed or not. */
  readonly lastIndex: number;
  /** Number of log entries held for members that lag behind. */
  readonly retained: number;
}

/**
 * Member of a zone's group, which replicates job events with a consensus
 * protocol similar to Raft. An event is committed once a majority of the
 * configured members holds it. State is held in memory only: a restarted member
 * is a new incarnation that votes again only after it has caught up. If a
 * majority loses its state, a new group is formed without the old jobs.
 */
export class GroupReplica extends Replicator {
  private readonly core: ReplicaCore;
  private readonly voteResponder: VoteResponder;
  private readonly follower: LogFollower;
  private readonly clock: Clock;
  private timer: Cancellable | undefined;
  private isStopped = false;

  constructor(opts: GroupReplicaOptions) {
    super();
    this.clock = opts.clock;
    this.core = new ReplicaCore({
      ...opts,
      roleChanged: () => this.schedule(),
      committed: (events, now) => this.listener?.committed(events, now),
      leadershipChanged: (epoch, now) =>
        this.listener?.leadershipChanged(epoch, now),
    });
    this.voteResponder = new VoteResponder(this.core);
    this.follower = new LogFollower(this.core);
    this.listenToPeers(opts);
  }

  /** Joins the group as a new incarnation without state. */
  start(): void {
    const now = this.clock.now();
    this.core.startIncarnation(now);
    this.core.become(new LearnerRole(this.core), now);
    this.tick(now);
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  override get leadingEpoch(): number | undefined {
    return this.leaderRole?.acceptsProposals ? this.core.epoch : undefined;
  }

  override get leader(): string | undefined {
    return this.core.leader;
  }

  override get memoryStart(): number {
    const {state} = this.core;
    return state?.isFormationCommitted ? state.memoryStart : Infinity;
  }

  /** Status for operators and tests. */
  get status(): GroupStatus {
    const {role, epoch, leader, state, isVoter} = this.core;
    return {
      role: role?.name ?? 'stopped',
      epoch,
      leader,
      isVoter,
      isLeading: this.leadingEpoch !== undefined,
      group: state?.isFormationCommitted ? state.group : undefined,
      members: [...(state?.members.keys() ?? [])],
      lastIndex: state?.log.lastIndex ?? 0,
      retained: state ? state.log.lastIndex - state.log.base : 0,
    };
  }

  override propose(events: readonly JobEvent[], now: number): void {
    this.leaderRole?.propose(events, now);
  }

  override raiseEpochAbove(epoch: number, now: number): void {
    const {core} = this;
    if (!this.leaderRole || epoch <= core.epoch) return;
    core.advanceEpoch(epoch);
    core.become(new CandidateRole(core, false), now);
  }

  override handOver(now: number): boolean {
    const isHandedOver = this.leaderRole?.handOver(now) ?? true;
    if (isHandedOver) this.core.hasResigned = true;
    return isHandedOver;
  }

  private get leaderRole(): LeaderRole | undefined {
    const {role} = this.core;
    return role instanceof LeaderRole ? role : undefined;
  }

  private tick(now: number): void {
    this.core.role?.tick(now);
    this.schedule();
  }

  /**
   * Schedules the next tick. A role that is overdue is retried periodically.
   */
  private schedule(): void {
    this.timer?.cancel();
    const {role} = this.core;
    if (!role || this.isStopped) return;
    const remainingMs = role.dueAt - this.clock.now();
    const delayMs = remainingMs > 0 ? remainingMs : GroupTiming.TICK_RETRY_MS;
    this.timer = this.clock.schedule(delayMs, () =>
      this.tick(this.clock.now()),
    );
  }

  /** Handles valid messages from members; ignores all others. */
  private listenToPeers({zone, peers}: GroupReplicaOptions): void {
    const {core} = this;
    const on = <S extends v.GenericSchema>(
      kind: string,
      schema: S,
      handle: (from: string, body: v.InferOutput<S>, now: number) => void,
    ) =>
      peers.onMessage(kind, (from, body, now) => {
        const isMember = core.others().includes(from);
        if (this.isStopped || !core.role || !isMember) return;
        const parsed = v.safeParse(schema, body);
        if (parsed.success) handle(from, parsed.output, now);
      });
    on(`group.${zone}`, GroupMessage, (from, msg, now) =>
      this.receive(from, msg, now),
    );
    on(`group.beat.${zone}`, GroupHeartbeat, (from, heartbeat, now) =>
      this.follower.onHeartbeat(from, heartbeat, now),
    );
    on(`group.alive.${zone}`, GroupHeartbeatReply, (from, reply, now) =>
      core.role?.onHeartbeatReply(from, reply, now),
    );
  }

  private receive(from: string, msg: GroupMessage, now: number): void {
    const {core} = this;
    this.leaveSupersededGroup(msg, now);
    switch (msg.type) {
      case 'append':
        this.follower.onAppend(from, msg, now);
        return;
      case 'install':
        this.follower.onInstall(from, msg, now);
        return;
      case 'ack':
        core.role?.onAck(from, msg, now);
        return;
      case 'vote':
        this.voteResponder.onVoteRequest(from, msg, now);
        return;
      case 'form':
        this.voteResponder.onFormRequest(from, msg, now);
        return;
      case 'ballot':
        core.role?.onBallot(from, msg, now);
        return;
      case 'handover':
        this.onHandover(msg, now);
    }
  }

  /**
   * Discards the state of a group if a newer group exists. The newer group
   * could form only because a majority lost the state of the older one, which
   * can therefore never commit again.
   */
  private leaveSupersededGroup(msg: GroupMessage, now: number): void {
    const {core} = this;
    if (!core.state || !msg.settled || msg.group <= core.state.group) return;
    core.startIncarnation(now);
    core.become(new LearnerRole(core), now);
  }

  private onHandover(msg: GroupMessage, now: number): void {
    const {core} = this;
    if (msg.epoch !== core.epoch || core.role?.name !== 'follower') return;
    // Accepted even after this member has resigned, as the leader may have no
    // other member to hand over to.
    const isWitness = core.opts.witnesses.includes(core.opts.node);
    if (core.isVoter && !isWitness) {
      core.become(new CandidateRole(core, false), now);
    }
  }
}
