import * as v from 'valibot';
import type {Cancellable} from '../clock/cancellable.js';
import type {Clock} from '../clock/clock.js';
import type {JobEvent} from '../job/job_event.js';
import type {JobTable} from '../job/job_table.js';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RandomSource} from '../random/random_source.js';
import {CandidateRole} from './candidate_role.js';
import {GroupHeartbeatReply} from './group_heartbeat_reply.js';
import {GroupHeartbeat} from './group_heartbeat.js';
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
  /** Every member of the group, in the same order on all of them. */
  readonly members: readonly string[];
  /** Members that vote and store, but never lead. */
  readonly witnesses: readonly string[];
  /** Holds the jobs; snapshots are taken of it and restored to it. */
  readonly table: JobTable;
  readonly peers: PeerTransport;
  readonly clock: Clock;
  readonly random: RandomSource;
}

interface GroupStatus {
  readonly role: Role['name'] | 'stopped';
  readonly epoch: number;
  readonly leader: string | undefined;
  /** Whether its votes and acknowledgements count. */
  readonly isVotingMember: boolean;
  readonly isLeading: boolean;
  /** Epoch in which its group formed; undefined without settled memory. */
  readonly group: number | undefined;
  /** Nodes whose votes and acknowledgements count. */
  readonly members: readonly string[];
  /** Index of the last log entry, committed or not. */
  readonly lastIndex: number;
  /** Log entries held for members that lag. */
  readonly retained: number;
}

/**
 * A member of a zone's group. It elects one leader for each epoch and holds the
 * events of the zone in memory; an event is committed once a majority of the
 * configured members holds it.
 */
export class GroupReplica extends Replicator {
  private readonly core: ReplicaCore;
  private readonly voter: VoteResponder;
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
    this.voter = new VoteResponder(this.core);
    this.follower = new LogFollower(this.core);
    this.listenToPeers(opts);
  }

  /** Joins the group, without memory. */
  start(): void {
    const now = this.clock.now();
    this.core.startIncarnation(now);
    this.core.changeRole(new LearnerRole(this.core), now);
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

  /** What this member is and holds, for operators and tests. */
  get status(): GroupStatus {
    const {role, epoch, leader, state, isVotingMember} = this.core;
    return {
      role: role?.name ?? 'stopped',
      epoch,
      leader,
      isVotingMember,
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
    core.changeRole(new CandidateRole(core, false), now);
  }

  override handOver(now: number): boolean {
    const handed = this.leaderRole?.handOver(now) ?? true;
    if (handed) this.core.hasResigned = true;
    return handed;
  }

  private get leaderRole(): LeaderRole | undefined {
    const {role} = this.core;
    return role instanceof LeaderRole ? role : undefined;
  }

  private tick(now: number): void {
    this.core.role?.tick(now);
    this.schedule();
  }

  /** Wakes when the role is due; a role that waits for others is due again. */
  private schedule(): void {
    this.timer?.cancel();
    const {role} = this.core;
    if (!role || this.isStopped) return;
    const restMs = role.dueAt - this.clock.now();
    const delayMs = restMs > 0 ? restMs : GroupTiming.TICK_RETRY_MS;
    this.timer = this.clock.schedule(delayMs, () =>
      this.tick(this.clock.now()),
    );
  }

  /** Takes messages of known form that come from members. */
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
    on(`group.beat.${zone}`, GroupHeartbeat, (from, beat, now) =>
      this.follower.onHeartbeat(from, beat, now),
    );
    on(`group.alive.${zone}`, GroupHeartbeatReply, (from, alive, now) =>
      core.role?.onHeartbeatReply(from, alive, now),
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
        this.voter.onVoteRequest(from, msg, now);
        return;
      case 'form':
        this.voter.onFormRequest(from, msg, now);
        return;
      case 'ballot':
        core.role?.onBallot(from, msg, now);
        return;
      case 'handover':
        this.onHandover(msg, now);
    }
  }

  /**
   * A group that formed later is proof that a majority lost the memory of this
   * one, which can therefore never commit again.
   */
  private leaveSupersededGroup(msg: GroupMessage, now: number): void {
    const {core} = this;
    if (!core.state || !msg.settled || msg.group <= core.state.group) return;
    core.startIncarnation(now);
    core.changeRole(new LearnerRole(core), now);
  }

  private onHandover(msg: GroupMessage, now: number): void {
    const {core} = this;
    if (msg.epoch !== core.epoch || core.role?.name !== 'follower') return;
    // One that is about to stop serves until then, if the leader has no other.
    const isWitness = core.opts.witnesses.includes(core.opts.node);
    if (core.isVotingMember && !isWitness) {
      core.changeRole(new CandidateRole(core, false), now);
    }
  }
}
