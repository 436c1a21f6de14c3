import {isDeepStrictEqual} from 'node:util';
import {Result} from 'true-myth';
import type {Config} from '../../core/config/config.js';
import type {StaticConfigSource} from '../../core/config/static_config_source.js';
import {applyEdit} from './apply_edit.js';
import {ConfigAdmin} from './config_admin.js';
import type {ConfigChange} from './config_change.js';
import type {ConfigOutcome} from './config_outcome.js';
import type {ConfigRefusal} from './config_refusal.js';
import type {ConfigStatus} from './config_status.js';
import {diffConfigs} from './diff_configs.js';

type Outcome = Result<ConfigOutcome, ConfigRefusal>;

/** Maximum number of stored outcomes, and of stored earlier versions. */
const MAX_STORED = 1_000;

/**
 * Configuration of a daemon without a configuration log. It is kept in memory and
 * lost when the daemon stops.
 */
export class InMemoryConfigAdmin extends ConfigAdmin {
  private readonly outcomes = new Map<
    string,
    {readonly change: ConfigChange; readonly outcome: Outcome}
  >();
  private readonly versions = new Map<number, Config>();

  constructor(
    private readonly source: StaticConfigSource,
    private readonly node: string,
    private readonly zoneNames: readonly string[] = [],
  ) {
    super();
  }

  override read(): Config {
    return this.source.current();
  }

  override get leader(): string {
    return this.node;
  }

  override async status(): Promise<ConfigStatus> {
    const {version} = this.read();
    const inForce = [{node: this.node, version, age_ms: 0}];
    return {version, leader: this.node, voters: [], inForce};
  }

  override async change(change: ConfigChange): Promise<Outcome> {
    const stored = this.outcomes.get(change.key);
    if (stored) {
      if (isDeepStrictEqual(stored.change, change)) return stored.outcome;
      const detail = 'the idempotency key was used for a different change';
      return Result.err({kind: 'key_reused', detail});
    }
    const outcome = this.apply(change);
    storeBounded(this.outcomes, change.key, {change, outcome});
    return outcome;
  }

  override zones() {
    const {evacuated = []} = this.read();
    return this.zoneNames.map(zone => {
      return {zone, isEvacuated: evacuated.includes(zone)};
    });
  }

  override async evacuate(
    zone: string,
    isEvacuated: boolean,
  ): Promise<Outcome> {
    if (!this.zoneNames.includes(zone)) {
      const detail = `there is no zone "${zone}"`;
      return Result.err({kind: 'not_found', detail});
    }
    const config = this.read();
    const {evacuated = []} = config;
    if (evacuated.includes(zone) !== isEvacuated) {
      const others = evacuated.filter(each => each !== zone);
      const version = config.version + 1;
      const next = isEvacuated ? [...others, zone].sort() : others;
      this.source.set({...config, version, evacuated: next});
    }
    return Result.ok({version: this.read().version});
  }

  override async changeVoters(): Promise<Outcome> {
    const detail = 'this daemon runs without a configuration log';
    return Result.err({kind: 'unsupported', detail});
  }

  private apply({expectedVersion, edit}: ConfigChange): Outcome {
    const current = this.read();
    const {version} = current;
    if (expectedVersion !== version) {
      const seen = this.versions.get(expectedVersion);
      const changes = seen && diffConfigs(seen, current);
      return Result.err({kind: 'conflict', version, changes});
    }
    const edited = applyEdit(current, edit);
    if (!edited) {
      const detail = 'no entry has this name';
      return Result.err({kind: 'not_found', detail});
    }
    storeBounded(this.versions, version, current);
    this.source.set(edited);
    return Result.ok({version: edited.version});
  }
}

function storeBounded<K, V>(map: Map<K, V>, key: K, value: V): void {
  map.set(key, value);
  if (map.size <= MAX_STORED) return;
  const [oldest] = map.keys();
  map.delete(oldest!);
}
