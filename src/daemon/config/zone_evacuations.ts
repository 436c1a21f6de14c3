import {Result} from 'true-myth';
import type {ConfigOutcome} from '../admin/config_outcome.js';
import type {ConfigRefusal} from '../admin/config_refusal.js';
import type {ConfigService} from './config_service.js';

interface ZoneEvacuationsOptions {
  readonly node: string;
  /** Zones of the deployment, from the settings. */
  readonly zones: readonly string[];
  readonly config: Pick<ConfigService, 'evacuate' | 'source'>;
  readonly record: (
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Takes operators' orders that start or end the evacuation of a zone. */
export class ZoneEvacuations {
  constructor(private readonly opts: ZoneEvacuationsOptions) {}

  /**
   * Zones of the deployment and those that are evacuated. A zone that was
   * evacuated and then removed from the settings can still be restored.
   */
  list(): Array<{readonly zone: string; readonly isEvacuated: boolean}> {
    const evacuated = this.opts.config.source.current().evacuated ?? [];
    return [...new Set([...this.opts.zones, ...evacuated])]
      .sort()
      .map(zone => ({zone, isEvacuated: evacuated.includes(zone)}));
  }

  /**
   * Resolves when the order is durable, has been refused or has timed out.
   * `isWanted` tells whether the caller still waits.
   */
  async order(
    zone: string,
    isEvacuated: boolean,
    isWanted?: () => boolean,
  ): Promise<Result<ConfigOutcome, ConfigRefusal>> {
    if (!this.list().some(known => known.zone === zone)) {
      const detail = `there is no zone "${zone}"`;
      return Result.err({kind: 'not_found', detail});
    }
    const {node, config, record} = this.opts;
    const fields = {worker_zone: zone, is_evacuated: isEvacuated, node};
    const outcome = await config.evacuate({zone, isEvacuated}, isWanted);
    if (outcome.isOk) {
      const {version} = outcome.value;
      record('evacuation_acknowledged', {...fields, version});
      return Result.ok({version});
    }
    const {detail} = outcome.error;
    const isSubmitted = outcome.error.outcome === 'outcome_unknown';
    const event = isSubmitted ? 'evacuation_unclear' : 'evacuation_refused';
    record(event, {...fields, detail});
    return Result.err({kind: 'unavailable', detail, isSubmitted});
  }
}
