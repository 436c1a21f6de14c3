import type {Config} from '../../core/config/config.js';
import type {OrderHistory} from './order_history.js';

/** Requests that carried one change, and their answers. */
interface ChangeRecord {
  readonly key: string;
  readonly expected: number;
  /** Time of the first request. */
  readonly sentAt: number;
  /** Highest version that any answer had shown by then. */
  readonly versionAtSend: number;
  /** Time of the first answer that accepted or refused the change. */
  decidedAt?: number;
  /** Version that the change made, if it was accepted. */
  accepted?: number;
  /** Code of the refusal, if an answer said that the change was not made. */
  refused?: string;
  /** Number of requests without an answer. */
  unanswered: number;
  /** Whether the outcome of any request is unknown. */
  isUnknown: boolean;
}

interface ReadRecord {
  readonly sentAt: number;
  readonly versionAtSend: number;
  readonly answeredAt: number;
  readonly version: number;
}

/**
 * Records requests, answers and the configuration in force on each daemon, and
 * reports violations of linearizability.
 */
export class ChangeHistory {
  readonly violations: string[] = [];
  readonly changes = new Map<string, ChangeRecord>();
  private readonly reads: ReadRecord[] = [];
  private readonly contentByVersion = new Map<number, string>();
  private readonly appliedVersions = new Map<string, number>();
  private readonly leaderByTerm = new Map<number, string>();
  /** Highest version that any answer has shown. */
  private highestVersion = 1;

  /** `orders` makes the versions that no change of a class has made. */
  constructor(private readonly orders: OrderHistory) {}

  get floor(): number {
    return this.highestVersion;
  }

  /** Records a version that the answer to an evacuation order has shown. */
  recordVersion(version: number): void {
    this.highestVersion = Math.max(this.highestVersion, version);
  }

  recordSend(key: string, expected: number, sentAt: number): ChangeRecord {
    const known = this.changes.get(key);
    if (known) {
      known.unanswered += 1;
      return known;
    }
    const record: ChangeRecord = {
      key,
      expected,
      sentAt,
      versionAtSend: this.highestVersion,
      unanswered: 1,
      isUnknown: false,
    };
    this.changes.set(key, record);
    return record;
  }

  recordAccepted(
    record: ChangeRecord,
    version: number,
    answeredAt: number,
  ): void {
    record.unanswered -= 1;
    if (record.refused !== undefined) {
      this.report(`${record.key}: accepted after refusal "${record.refused}"`);
    }
    if (record.accepted !== undefined && record.accepted !== version) {
      this.report(
        `${record.key}: accepted as ${record.accepted} and ${version}`,
      );
    }
    if (version !== record.expected + 1) {
      this.report(
        `${record.key}: expected ${record.expected}, made ${version}`,
      );
    }
    record.accepted = version;
    record.decidedAt ??= answeredAt;
    this.highestVersion = Math.max(this.highestVersion, version);
  }

  /** Records an answer that the log has refused the change for good. */
  recordRefused(record: ChangeRecord, code: string, answeredAt: number): void {
    record.unanswered -= 1;
    if (record.accepted !== undefined) {
      this.report(
        `${record.key}: refused with "${code}" after it was accepted`,
      );
    }
    record.refused = code;
    record.decidedAt ??= answeredAt;
  }

  /** Records that a request had no effect or, if unknown, may have had one. */
  recordUnavailable(record: ChangeRecord, isUnknown: boolean): void {
    record.unanswered -= 1;
    if (isUnknown) record.isUnknown = true;
  }

  recordRead(
    sentAt: number,
    versionAtSend: number,
    config: Config,
    answeredAt: number,
  ): void {
    const {version} = config;
    this.checkContent('a read', config);
    this.reads.push({
      sentAt,
      versionAtSend: versionAtSend,
      answeredAt: answeredAt,
      version,
    });
    if (version < versionAtSend) {
      this.report(
        `a read returned ${version}, but was sent after ${versionAtSend} was seen`,
      );
    }
    this.highestVersion = Math.max(this.highestVersion, version);
  }

  /** Records that a configuration came into force on a daemon. */
  recordApplied(node: string, config: Config): void {
    const before = this.appliedVersions.get(node) ?? 0;
    if (config.version < before) {
      this.report(
        `${node}: version in force fell from ${before} to ${config.version}`,
      );
    }
    this.appliedVersions.set(node, config.version);
    this.checkContent(node, config);
  }

  /** Records a fault after which a daemon may return to an older version. */
  recordStateLoss(node: string): void {
    this.appliedVersions.delete(node);
  }

  /** Records the leader of a term. */
  elected(node: string, term: number): void {
    const other = this.leaderByTerm.get(term) ?? node;
    if (other !== node) this.report(`term ${term}: led by ${other}, ${node}`);
    this.leaderByTerm.set(term, node);
  }

  /**
   * Compares the answers with the final state. Each accepted change has added a
   * class named like its key; `versions` holds the version that added it.
   */
  checkFinalState(
    final: Config,
    versions: Readonly<Record<string, number>>,
  ): void {
    const byVersion = new Map<number, string>();
    for (const [name, version] of Object.entries(versions)) {
      if (!this.changes.has(name)) continue;
      const other = byVersion.get(version);
      if (other) this.report(`version ${version}: made by ${other}, ${name}`);
      byVersion.set(version, name);
    }
    const made = [...byVersion.keys()].filter(n => n >= 2).length;
    const byOrders = final.version - 1 - made;
    for (const violation of this.orders.findViolations(final, byOrders)) {
      this.report(violation);
    }
    for (const change of this.changes.values()) {
      this.checkChange(change, versions[change.key], byVersion);
    }
    for (const read of this.reads) {
      for (const [version, key] of byVersion) {
        const {sentAt} = this.changes.get(key)!;
        if (version <= read.version && sentAt > read.answeredAt) {
          this.report(`a read returned the change ${key} before it was sent`);
        }
      }
    }
  }

  report(violation: string): void {
    this.violations.push(violation);
  }

  private checkChange(
    change: ChangeRecord,
    version: number | undefined,
    byVersion: ReadonlyMap<number, string>,
  ): void {
    const {key, accepted, refused, versionAtSend} = change;
    if (accepted !== undefined && version !== accepted) {
      this.report(
        `${key}: accepted as ${accepted}, but final state has ${version}`,
      );
    }
    if (refused !== undefined && version !== undefined) {
      this.report(`${key}: refused with "${refused}", but made ${version}`);
    }
    const isNotMade =
      accepted === undefined &&
      refused === undefined &&
      !change.isUnknown &&
      change.unanswered === 0;
    if (isNotMade && version !== undefined) {
      this.report(`${key}: answered as not made, but made ${version}`);
    }
    if (version !== undefined && version <= versionAtSend) {
      this.report(
        `${key}: sent after ${versionAtSend} was seen, but made ${version}`,
      );
    }
    if (refused !== 'conflict' || change.expected !== versionAtSend) return;
    // The expected version was current when the change was sent, so a conflict
    // requires another change that was sent before the refusal.
    const competitor = byVersion.get(versionAtSend + 1);
    const hasCompetitor =
      competitor === undefined
        ? this.orders.mayHaveApplied(change.decidedAt!)
        : this.changes.get(competitor)!.sentAt <= change.decidedAt!;
    if (!hasCompetitor) {
      this.report(
        `${key}: conflict at version ${versionAtSend} without a competing change`,
      );
    }
  }

  private checkContent(where: string, config: Config): void {
    const names = Object.keys(config.classes).sort();
    const content = [names.join(), ...(config.evacuated ?? [])].join(' ');
    const known = this.contentByVersion.get(config.version) ?? content;
    if (known !== content) {
      this.report(`${where}: content of version ${config.version} differs`);
    }
    this.contentByVersion.set(config.version, content);
  }
}
