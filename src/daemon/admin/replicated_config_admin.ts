import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {Config} from '../../core/config/config.js';
import type {MembershipRequest} from '../../core/config/log/membership_request.js';
import type {ChangeRefusal} from '../../core/config/state/change_refusal.js';
import type {ConfigDiff} from '../../core/config/state/config_diff.js';
import type {ConfigService} from '../config/config_service.js';
import {ConfigAdmin} from './config_admin.js';
import type {ConfigChange} from './config_change.js';
import type {ConfigDifference} from './config_difference.js';
import type {ConfigEdit} from './config_edit.js';
import type {ConfigOutcome} from './config_outcome.js';
import type {ConfigRefusal} from './config_refusal.js';
import type {ConfigStatus} from './config_status.js';
import type {VoterChange} from './voter_change.js';

type Outcome = Result<ConfigOutcome, ConfigRefusal>;

/** How long a new voter may take to catch up before the command gives up. */
const CATCH_UP_MS = 10_000;
const PROMOTE_PAUSE_MS = 200;
/** The change is accepted whether or not it reaches this daemon in time. */
const IN_FORCE_MS = 2_000;
const POLL_MS = 10;

/** The replicated configuration log as the admin API needs it. */
export class ReplicatedConfigAdmin extends ConfigAdmin {
  constructor(
    private readonly service: ConfigService,
    private readonly clock: Clock,
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
      ...itemsOf(change.edit),
    });
    if (result.isErr) return Result.err(this.refusalOf(result.error));
    await this.whenInForce(result.value.version);
    return Result.ok(result.value);
  }

  override async changeVoters(change: VoterChange): Promise<Outcome> {
    const result =
      change.action === 'add'
        ? await this.addVoter(change.node)
        : await this.service.changeMembers(requestOf(change));
    if (result.isErr) return Result.err(this.refusalOf(result.error));
    return Result.ok({version: this.read().version});
  }

  /** An operator who reads at once must see the change. */
  private async whenInForce(version: number): Promise<void> {
    const deadline = this.clock.now() + IN_FORCE_MS;
    while (this.read().version < version && this.clock.now() < deadline) {
      await this.pause(POLL_MS);
    }
  }

  private pause(ms: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.schedule(ms, resolve);
    });
  }

  /** Adds a learner and promotes it as soon as it has caught up. */
  private async addVoter(node: string): Promise<Result<void, ChangeRefusal>> {
    const added = await this.service.changeMembers({op: 'add', node});
    if (added.isErr) return added;
    const deadline = this.clock.now() + CATCH_UP_MS;
    for (;;) {
      const promoted = await this.service.changeMembers({op: 'promote', node});
      const isWaiting = promoted.isErr && promoted.error.code === 'unavailable';
      if (!isWaiting || this.clock.now() > deadline) return promoted;
      await this.pause(PROMOTE_PAUSE_MS);
    }
  }

  private refusalOf(refusal: ChangeRefusal): ConfigRefusal {
    const {code, outcome, detail, version, diff} = refusal;
    switch (code) {
      case 'conflict':
        return {
          kind: 'conflict',
          version: version ?? this.read().version,
          changes: diff && differencesOf(diff),
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

function itemsOf(edit: ConfigEdit): object {
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

function requestOf({
  action,
  node,
  replacement,
}: VoterChange): MembershipRequest {
  if (action === 'replace') {
    return {op: 'replace', old: node, next: replacement ?? ''};
  }
  return {op: action, node};
}

function differencesOf(diff: ConfigDiff): ConfigDifference[] {
  const sections = {classes: diff.classes, tenants: diff.tenants};
  return Object.entries(sections).flatMap(([section, items]) =>
    Object.entries(items).map(([name, after]) => {
      const path = `${section}/${name}`;
      return after === null ? {path} : {path, after};
    }),
  );
}
