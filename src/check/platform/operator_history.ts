import {isDeepStrictEqual} from 'node:util';
import type {DisruptionLog} from './disruption_log.js';
import type {OperatorConfig} from './operator_config.js';

/** How an entry process treated a route; a service is the one that ran a job. */
interface Observation {
  readonly entry: string;
  readonly incarnation: number;
  readonly route: string;
  readonly seen: 'absent' | 'present' | 'guarded' | 'unguarded';
  readonly sentAt: number;
  readonly endedAt: number;
}

interface SentVersion {
  readonly config: OperatorConfig;
  readonly sentAt: number;
  ackedAt: number;
}

interface Bounds {
  readonly applyMs: number;
  readonly rollbackMs: number;
  /** Addition to `applyMs` while the core is not stable. */
  readonly skewMs: number;
}

/** Highest version whose effect a process showed by a time. */
interface Evidence {
  readonly at: number;
  readonly version: number;
}

/** Checks rule CONFIG on what operators, clients and workers see. */
export class OperatorHistory {
  readonly violations: string[] = [];
  /** Kinds of invalid configurations that were acknowledged. */
  readonly invalidAcknowledged = new Map<string, number>();
  /** Versions of invalid configurations that were read back. */
  readonly invalidInForce = new Set<number>();
  /** Bodies of invalid configurations by version. */
  private readonly invalid = new Map<number, string>();
  readonly sent: SentVersion[] = [];
  observations = 0;
  /** Observations that were checked against an acknowledged version. */
  checked = 0;
  private readonly evidence = new Map<string, Evidence[]>();

  constructor(
    private readonly bounds: Bounds,
    private readonly disruptions: DisruptionLog,
    /** Called with each violation when it is found. */
    private readonly onViolation: (text: string) => void = () => undefined,
  ) {}

  /** Records the first send of a valid configuration. */
  add(config: OperatorConfig, sentAt: number): SentVersion {
    const version = {config, sentAt, ackedAt: Number.POSITIVE_INFINITY};
    this.sent.push(version);
    return version;
  }

  /** Records that an invalid configuration is sent. */
  addInvalid(version: number, body: string): void {
    this.invalid.set(version, body);
  }

  acknowledge(version: SentVersion, at: number): void {
    version.ackedAt = Math.min(version.ackedAt, at);
  }

  /** Highest version acknowledged by a time. */
  floorAt(time: number): number {
    let floor = 0;
    for (const {config, ackedAt} of this.sent) {
      if (ackedAt < time) floor = Math.max(floor, config.version);
    }
    return floor;
  }

  /** Checks the configuration that a node returned. */
  checkRead(node: string, body: {version?: unknown}, sentAt: number): void {
    const version = Number(body.version);
    const floor = this.floorAt(sentAt - this.bounds.applyMs);
    if (version < floor) {
      this.report(`OLDER: ${node} returned ${version}, not ${floor}`, sentAt);
    }
    const sent = this.sent.filter(({config}) => config.version === version);
    // The first versions are those that start the deployment.
    if (sent.length === 0 && version < this.sent[0]!.config.version) return;
    if (this.invalid.get(version) === JSON.stringify(body)) {
      this.invalidInForce.add(version);
      return;
    }
    const isKnown = sent.some(({config}) =>
      isDeepStrictEqual(config.toBody(), body),
    );
    if (isKnown) return;
    this.report(
      `CONTENT: ${node} returned other content as ${version}`,
      sentAt,
    );
  }

  observe(observation: Observation): void {
    this.observations += 1;
    const {entry, incarnation, sentAt, endedAt, route, seen} = observation;
    const key = `${entry}#${incarnation}`;
    const text = `${key} ${route} ${seen} until ${endedAt.toFixed(0)}`;
    const allowing = this.allowing(observation);
    if (allowing.length === 0) {
      this.report(`NEVER SENT: ${text}`, sentAt);
      return;
    }
    const newest = Math.max(...allowing);
    const floor = this.floorFor(observation);
    if (floor > 0) this.checked += 1;
    if (newest < floor) {
      this.report(`LATE: ${text}: ${newest} or older, not ${floor}`, sentAt);
    }
    const shown = this.shownBefore(key, sentAt - this.bounds.rollbackMs);
    if (newest < shown) {
      this.report(`REGRESS: ${text}: ${newest}, not ${shown}`, sentAt);
    }
    // Only what a worker has seen is evidence by the rule.
    if (seen === 'guarded' || seen === 'unguarded') {
      this.addEvidence(key, {at: endedAt, version: Math.min(...allowing)});
    }
  }

  report(text: string, at: number): void {
    const line = `${new Date(at).toISOString()} ${text}`;
    this.violations.push(line);
    this.onViolation(line);
  }

  /** Versions that allow what was seen and may have been in force then. */
  private allowing({route, seen, endedAt}: Observation): number[] {
    return this.sent
      .filter(({config, sentAt}) => {
        if (sentAt > endedAt) return false;
        const service = config.routes.get(route);
        if (seen === 'absent') return service === undefined;
        return seen === 'present' ? service !== undefined : service === seen;
      })
      .map(({config}) => config.version);
  }

  /** Version that the rule requires; 0 if it requires none. */
  private floorFor({entry, sentAt, endedAt}: Observation): number {
    const {applyMs, skewMs} = this.bounds;
    if (this.disruptions.isInTouch(entry, sentAt, endedAt)) {
      return this.floorAt(sentAt - applyMs);
    }
    const since = sentAt - applyMs - skewMs;
    if (!this.disruptions.isOuter(entry, since, endedAt)) return 0;
    return this.floorAt(since);
  }

  private shownBefore(key: string, time: number): number {
    const shown = this.evidence.get(key) ?? [];
    return shown.findLast(({at}) => at < time)?.version ?? 0;
  }

  private addEvidence(key: string, {at, version}: Evidence): void {
    const shown = this.evidence.get(key) ?? [];
    this.evidence.set(key, shown);
    if (version > (shown.at(-1)?.version ?? 0)) shown.push({at, version});
  }
}
