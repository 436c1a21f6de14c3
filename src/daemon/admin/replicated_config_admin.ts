import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {Config} from '../../core/config/config.js';
import type {MembershipRequest} from '../../core/config/log/membership_request.js';
import type {ChangeRefusal} from '../../core/config/state/change_refusal.js';
import type {ConfigDiff} from '../../core/config/state/config_diff.js';
import type {ConfigService} from '../config/config_service.js';
import type {ZoneEvacuations} from '../config/zone_evacuations.js';
import {ConfigAdmin} from './config_admin.js';
import type {ConfigChange} from './config_change.js';
import type {ConfigDifference} from './config_difference.js';
import type {ConfigEdit} from './config_edit.js';
import type {ConfigOutcome} from './config_outcome.js';
import type {ConfigRefusal} from './config_refusal.js';
import type {ConfigStatus} from './config_status.js';
import type {VoterChange} from './voter_change.js';

type Outcome = Result<ConfigOutcome, ConfigRefusal>;

/** Longest time for a new voter to catch up before adding it fails. */
const CATCH_UP_TIMEOUT_MS = 10_000;
/** Interval of attempts to promote a learner that has not caught up. */
const PROMOTE_RETRY_MS = 200;
/**
 * Longest wait for an accepted change to come into force at this daemon; the
 * reply is the same if it does not.
 */
const IN_FORCE_TIMEOUT_MS = 2_000;
const IN_FORCE_POLL_MS = 10;

/** Reads and changes the replicated configuration for the admin API. */
export class ReplicatedConfigAdmin extends ConfigAdmin {
  constructor(
    private readonly service: ConfigService,
    private readonly clock: Clock,
    private readonly evacuations: ZoneEvacuations,
  ) {
    super();
  }

  override read(): Config {
    return this.service.source.current();
  }

  override get leader(): string | undefined {
    return this.service.leader;
  }

  override async status(): Promise<ConfigStatus> {
    const {leader, members, in_force} = await this.service.status();
    const voters = members.voters.map(({node}) => {
      return {node, role: 'voter' as const};
    });
    const learners = members.learners.map(({node}) => {
      return {node, role: 'learner' as const};
    });
    return {
      version: this.read().version,
      leader,
      voters: [...voters, ...learners],
      inForce: in_force,
    };
  }

  override async change(change: ConfigChange): Promise<Outcome> {
    const result = await this.service.change({
      key: change.key,
      expected_version: change.expectedVersion,
      ...toChangeItems(change.edit),
    });
    if (result.isErr) return Result.err(this.toRefusal(result.error));
    await this.waitUntilInForce(result.value.version);
    return Result.ok(result.value);
  }

  override zones(): ReturnType<ZoneEvacuations['list']> {
    return this.evacuations.list();
  }

  override async evacuate(
    zone: string,
    isEvacuated: boolean,
    isWanted: () => boolean,
  ): Promise<Outcome> {
    const order = this.evacuations.order(zone, isEvacuated, isWanted);
    const result = await order;
    if (result.isOk) await this.waitUntilInForce(result.value.version);
    return result;
  }

  override async changeVoters(change: VoterChange): Promise<Outcome> {
    const result =
      change.action === 'add'
        ? await this.addVoter(change.node)
        : await this.service.changeMembers(toMembershipRequest(change));
    if (result.isErr) return Result.err(this.toRefusal(result.error));
    return Result.ok({version: this.read().version});
  }

  /** Waits for a change, so that an operator's next read returns it. */
  private async waitUntilInForce(version: number): Promise<void> {
    const deadline = this.clock.now() + IN_FORCE_TIMEOUT_MS;
    while (this.read().version < version && this.clock.now() < deadline) {
      await this.sleep(IN_FORCE_POLL_MS);
    }
  }

  private sleep(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.schedule(ms, resolve);
    });
  }

  /** Adds a node as a learner and promotes it to a voter when it has caught up. */
  private async addVoter(node: string): Promise<Result<void, ChangeRefusal>> {
    const added = await this.service.changeMembers({op: 'add', node});
    if (added.isErr) return added;
    const deadline = this.clock.now() + CATCH_UP_TIMEOUT_MS;
    for (;;) {
      const promoted = await this.service.changeMembers({op: 'promote', node});
      const isCatchingUp =
        promoted.isErr && promoted.error.code === 'unavailable';
      if (!isCatchingUp || this.clock.now() > deadline) return promoted;
      await this.sleep(PROMOTE_RETRY_MS);
    }
  }

  private toRefusal(refusal: ChangeRefusal): ConfigRefusal {
    const {code, outcome, detail, version, diff} = refusal;
    switch (code) {
      case 'conflict':
        return {
          kind: 'conflict',
          version: version ?? this.read().version,
          changes: diff && toDifferences(diff),
        };
      case 'unavailable': {
        const isSubmitted = outcome === 'outcome_unknown';
        return {kind: 'unavailable', detail, isSubmitted};
      }
      case 'invalid':
      case 'key_reused':
        return {kind: code, detail};
    }
  }
}

function toChangeItems(edit: ConfigEdit): object {
  switch (edit.kind) {
    case 'set_class':
      return {put_classes: [edit.value]};
    case 'delete_class':
      return {delete_classes: [edit.name]};
    case 'set_tenant':
      return {put_tenants: [edit.value]};
    case 'delete_tenant':
      return {delete_tenants: [edit.name]};
  }
}

function toMembershipRequest({
  action,
  node,
  replacement,
}: VoterChange): MembershipRequest {
  if (action === 'replace') {
    return {op: 'replace', old: node, next: replacement ?? ''};
  }
  return {op: action, node};
}

function toDifferences(diff: ConfigDiff): ConfigDifference[] {
  const sections = {classes: diff.classes, tenants: diff.tenants};
  return Object.entries(sections).flatMap(([section, items]) =>
    Object.entries(items).map(([name, after]) => {
      const path = `${section}/${name}`;
      return after === null ? {path} : {path, after};
    }),
  );
}
