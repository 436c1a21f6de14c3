import type {Config} from '../../core/config/config.js';
import {ConfigOrigin} from '../../core/config/config_origin.js';
import type {ConfigSource} from '../../core/config/config_source.js';
import type {PoolTelemetry} from '../pool/pool_telemetry.js';

/** Logs and metrics about the configuration in force at this node. */
export class ConfigTelemetry {
  constructor(
    private readonly source: ConfigSource,
    private readonly telemetry: PoolTelemetry,
  ) {
    source.onChange((current, origin) => this.record(current, origin));
    telemetry.addGauge(
      'config_version',
      'Version of the configuration in force',
      () => source.current().version,
    );
    telemetry.addGauge(
      'config_revision',
      "Revision of the operator's document in force, or -1",
      () => source.current().document?.revision ?? -1,
    );
  }

  /** Records the configuration that was in force before a restart, if any. */
  recordStored(): void {
    const current = this.source.current();
    if (current.version > 0) this.record(current, ConfigOrigin.disk);
  }

  private record(
    {version, document}: Config,
    origin: ConfigOrigin | undefined,
  ): void {
    this.telemetry.recordStateChange('config_in_force', {
      version,
      revision: document?.revision,
      origin,
    });
  }
}
