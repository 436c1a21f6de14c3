import {Result} from 'true-myth';
import {v5 as uuidv5} from 'uuid';
import type {ClassConfig} from '../class_config.js';
import type {Config} from '../config.js';
import type {PublishedDocument} from '../published_document.js';
import type {TenantConfig} from '../tenant_config.js';
import type {ChangeOutcome} from './change_outcome.js';
import type {ChangeRefusal} from './change_refusal.js';
import type {ConfigChange} from './config_change.js';
import type {ConfigDiff} from './config_diff.js';
import type {ConfigSnapshot} from './config_snapshot.js';
import type {EvacuationOrder} from './evacuation_order.js';
import {ZoneOrders} from './zone_orders.js';

type OutcomeRecord = ConfigSnapshot['outcomes'][number];

/**
 * Limit of remembered outcomes. Covers more than a day at 6,700 changes a day,
 * the expected rate of a deployment that has grown.
 */
const MAX_OUTCOMES = 10_000;
/** Limit of deleted names, per kind, that are remembered for diffs. */
const MAX_DELETED_NAMES = 2_000;
const NAMESPACE = '7a3c1d0e-5b0f-4c56-9d3b-0e6f5c0a9a11';

/**
 * State machine of the configuration log. Applies changes in log order and is
 * deterministic: equal logs produce equal states.
 */
export class ConfigState {
  static readonly MAX_OUTCOMES = MAX_OUTCOMES;

  private constructor(
    private config: Config,
    private readonly classVersions: Map<string, number>,
    private readonly tenantVersions: Map<string, number>,
    private diffFloor: number,
    private readonly outcomes: Map<string, OutcomeRecord>,
    private documentVersion = 0,
    private readonly zoneOrders = new ZoneOrders(),
    private evacuationVersion = 0,
  ) {}

  static from(snapshot: ConfigSnapshot): ConfigState {
    const {version, classes, tenants, document, evacuated} = snapshot;
    return new ConfigState(
      {
        version,
        classes,
        tenants,
        ...(document ? {document} : {}),
        ...(evacuated ? {evacuated} : {}),
      },
      new Map(Object.entries(snapshot.class_versions)),
      new Map(Object.entries(snapshot.tenant_versions)),
      snapshot.diff_floor,
      new Map(snapshot.outcomes.map(o => [o.key, o])),
      snapshot.document_version ?? 0,
      new ZoneOrders(snapshot.zone_orders),
      snapshot.evacuation_version ?? 0,
    );
  }

  /** State of a new deployment. */
  static initial(config: Config): ConfigSnapshot {
    const versions = (items: object) =>
      Object.fromEntries(Object.keys(items).map(k => [k, config.version]));
    return {
      ...config,
      class_versions: versions(config.classes),
      tenant_versions: versions(config.tenants),
      diff_floor: 0,
      outcomes: [],
    };
  }

  get current(): Config {
    return this.config;
  }

  toSnapshot(): ConfigSnapshot {
    return {
      ...this.config,
      zone_orders: this.zoneOrders.toSnapshot(),
      evacuation_version: this.evacuationVersion,
      class_versions: Object.fromEntries(this.classVersions),
      tenant_versions: Object.fromEntries(this.tenantVersions),
      diff_floor: this.diffFloor,
      document_version: this.documentVersion,
      outcomes: [...this.outcomes.values()],
    };
  }

  /**
   * Outcome of a change that was applied before, by its key; undefined if the
   * key is unknown.
   */
  outcomeOf(
    change: ConfigChange,
  ): Result<ChangeOutcome, ChangeRefusal> | undefined {
    const record = this.outcomes.get(change.key);
    if (!record) return undefined;
    if (record.fingerprint !== fingerprint(change)) {
      return Result.err({
        code: 'key_reused',
        outcome: 'not_made',
        detail: `the key "${change.key}" was already used for another change`,
      });
    }
    return this.toResult(record);
  }

  /**
   * Accepts or refuses a change. A change with a known key is not applied again
   * and gets its first outcome.
   */
  apply(change: ConfigChange): Result<ChangeOutcome, ChangeRefusal> {
    const known = this.outcomeOf(change);
    if (known) return known;
    const {version} = this.config;
    const isCurrent = change.expected_version === version;
    const invalid = isCurrent ? this.findInvalid(change) : undefined;
    const isAccepted = isCurrent && invalid === undefined;
    if (isAccepted) this.applyAccepted(change);
    const record: OutcomeRecord = {
      key: change.key,
      fingerprint: fingerprint(change),
      expected: change.expected_version,
      accepted: isAccepted ? version + 1 : 0,
      seen: version,
      ...(invalid === undefined ? {} : {invalid}),
    };
    this.outcomes.set(change.key, record);
    if (this.outcomes.size > MAX_OUTCOMES) {
      const [oldest] = this.outcomes.keys();
      this.outcomes.delete(oldest!);
    }
    return this.toResult(record);
  }

  /**
   * Replaces the document if the new revision is higher than the current one.
   * Otherwise changes nothing, so that resending a document is idempotent.
   */
  publish(document: PublishedDocument): ChangeOutcome {
    const {config} = this;
    if (document.revision > (config.document?.revision ?? -1)) {
      const version = config.version + 1;
      this.config = {...config, version, document};
      this.documentVersion = version;
    }
    return {version: this.config.version};
  }

  /** Number of the last evacuation order, for `EvacuationOrder.after`. */
  get lastOrder(): number {
    return this.zoneOrders.last;
  }

  /**
   * Starts or ends the evacuation of a zone. Refuses an order that was given
   * before the latest one for the zone, and raises the version only if the
   * order changes something.
   */
  evacuate(order: EvacuationOrder): Result<ChangeOutcome, ChangeRefusal> {
    const {isAccepted, isChange} = this.zoneOrders.apply(order);
    if (!isAccepted) {
      return Result.err({
        code: 'conflict',
        outcome: 'not_made',
        detail: `a later order for the zone "${order.zone}" was applied`,
      });
    }
    if (isChange) {
      const version = this.config.version + 1;
      const {evacuated} = this.zoneOrders;
      this.config = {...this.config, version, evacuated};
      this.evacuationVersion = version;
    }
    return Result.ok({version: this.config.version});
  }

  /** Returns the evacuated zones if they have changed after `version`. */
  evacuatedSince(version: number): readonly string[] | undefined {
    return this.evacuationVersion > version ? this.config.evacuated : undefined;
  }

  /** Returns the document if it was published after `version`. */
  documentSince(version: number): PublishedDocument | undefined {
    return this.documentVersion > version ? this.config.document : undefined;
  }

  /**
   * Returns the changes after `version`; undefined if some later deletions are
   * no longer remembered, so that only the complete configuration can be sent.
   */
  diffSince(version: number): ConfigDiff | undefined {
    if (version < this.diffFloor) return undefined;
    const {classes, tenants} = this.config;
    return {
      classes: changedSince(version, this.classVersions, classes),
      tenants: changedSince(version, this.tenantVersions, tenants),
    };
  }

  private toResult(
    record: OutcomeRecord,
  ): Result<ChangeOutcome, ChangeRefusal> {
    if (record.accepted > 0) return Result.ok({version: record.accepted});
    if (record.invalid !== undefined) {
      return Result.err({
        code: 'invalid',
        outcome: 'not_made',
        detail: record.invalid,
      });
    }
    const {classes, tenants} = this.config;
    return Result.err({
      code: 'conflict',
      outcome: 'not_made',
      detail:
        `the change expects version ${record.expected}, ` +
        `but the current version was ${record.seen}`,
      version: this.config.version,
      diff: this.diffSince(record.expected) ?? {classes, tenants},
    });
  }

  private findInvalid(change: ConfigChange): string | undefined {
    const {classes, tenants} = this.config;
    const noClass = change.delete_classes.find(n => !Object.hasOwn(classes, n));
    if (noClass !== undefined) return `there is no class "${noClass}"`;
    const noTenant = change.delete_tenants.find(
      n => !Object.hasOwn(tenants, n),
    );
    if (noTenant !== undefined) return `there is no tenant "${noTenant}"`;
    return undefined;
  }

  private applyAccepted(change: ConfigChange): void {
    const version = this.config.version + 1;
    const classes: Record<string, ClassConfig> = {...this.config.classes};
    const tenants: Record<string, TenantConfig> = {...this.config.tenants};
    for (const item of change.put_classes) classes[item.name] = item;
    for (const name of change.delete_classes) delete classes[name];
    for (const item of change.put_tenants) tenants[item.name] = item;
    for (const name of change.delete_tenants) delete tenants[name];
    for (const {name} of change.put_classes) {
      this.classVersions.set(name, version);
    }
    for (const {name} of change.put_tenants) {
      this.tenantVersions.set(name, version);
    }
    // Deleted and inserted again, so that the map keeps names in the order of
    // their deletion.
    for (const name of change.delete_classes) {
      this.classVersions.delete(name);
      this.classVersions.set(name, version);
    }
    for (const name of change.delete_tenants) {
      this.tenantVersions.delete(name);
      this.tenantVersions.set(name, version);
    }
    this.config = {...this.config, version, classes, tenants};
    this.pruneDeleted(this.classVersions, classes);
    this.pruneDeleted(this.tenantVersions, tenants);
  }

  private pruneDeleted(versions: Map<string, number>, items: object): void {
    let excess = versions.size - Object.keys(items).length - MAX_DELETED_NAMES;
    for (const [name, version] of versions) {
      if (excess <= 0) return;
      if (Object.hasOwn(items, name)) continue;
      versions.delete(name);
      this.diffFloor = Math.max(this.diffFloor, version);
      excess -= 1;
    }
  }
}

function changedSince<T>(
  version: number,
  versions: ReadonlyMap<string, number>,
  items: Readonly<Record<string, T>>,
): Record<string, T | null> {
  const changed: Record<string, T | null> = {};
  for (const [name, at] of versions) {
    if (at > version) changed[name] = items[name] ?? null;
  }
  return changed;
}

function fingerprint(change: ConfigChange): string {
  return uuidv5(JSON.stringify({...change, key: ''}), NAMESPACE);
}
