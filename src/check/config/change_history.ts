import type {Config} from '../../core/config/config.js';

/** What is known about one key and all sendings of its change. */
interface ChangeRecord {
  readonly key: string;
  readonly expected: number;
  /** When it was first sent, and the highest version known then. */
  readonly sentAt: number;
  readonly versionAtSend: number;
  /** When the first definite answer came. */
  decidedAt?: number;
  /** Version if it was accepted. */
  accepted?: number;
  /** Set by an answer which says that the change was surely not made. */
  refused?: string;
  /** Whether every sending so far was answered. */
  unanswered: number;
  /** Set when some sending got no definite answer. */
  isUnknown: boolean;
}

interface ReadRecord {
  readonly sentAt: number;
  readonly versionAtSend: number;
  readonly answeredAt: number;
  readonly version: number;
}

/** Requests with their answers, and what each daemon had in force. */
export class ChangeHistory {
  readonly violations: string[] = [];
  readonly changes = new Map<string, ChangeRecord>();
  private readonly reads: ReadRecord[] = [];
  private readonly contentByVersion = new Map<number, string>();
  private readonly appliedVersions = new Map<string, number>();
  private readonly leaderByTerm = new Map<number, string>();
  /** Highest version that any answer has shown. */
  private highestVersion = 1;

  get floor(): number {
    return this.highestVersion;
  }

  recordSend(key: string, expected: number, at: number): ChangeRecord {
    const known = this.changes.get(key);
    if (known) {
      known.unanswered += 1;
      return known;
    }
    const record: ChangeRecord = {
      key,
      expected,
      sentAt: at,
      versionAtSend: this.highestVersion,
      unanswered: 1,
      isUnknown: false,
    };
    this.changes.set(key, record);
    return record;
  }

  recordAccepted(record: ChangeRecord, version: number, at: number): void {
    record.unanswered -= 1;
    if (record.refused !== undefined) {
      this.report(`${record.key}: accepted after "${record.refused}"`);
    }
    if (record.accepted !== undefined && record.accepted !== version) {
      this.report(`${record.key}: accepted as ${record.accepted}, ${version}`);
    }
    if (version !== record.expected + 1) {
      this.report(`${record.key}: expected ${record.expected} gave ${version}`);
    }
    record.accepted = version;
    record.decidedAt ??= at;
    this.highestVersion = Math.max(this.highestVersion, version);
  }

  /** An answer which says that the log has decided against the change. */
  recordRefused(record: ChangeRecord, code: string, at: number): void {
    record.unanswered -= 1;
    if (record.accepted !== undefined) {
      this.report(`${record.key}: "${code}" after it was accepted`);
    }
    record.refused = code;
    record.decidedAt ??= at;
  }

  /** An answer which says that this sending was not or may have been made. */
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
      sentAt: sentAt,
      versionAtSend: versionAtSend,
      answeredAt: answeredAt,
      version,
    });
    if (version < versionAtSend) {
      this.report(`a read gave ${version} after ${versionAtSend} was shown`);
    }
    this.highestVersion = Math.max(this.highestVersion, version);
  }

  /** A configuration came into force at a daemon. */
  recordApplied(node: string, config: Config): void {
    const before = this.appliedVersions.get(node) ?? 0;
    if (config.version < before) {
      this.report(`${node}: went from ${before} back to ${config.version}`);
    }
    this.appliedVersions.set(node, config.version);
    this.checkContent(node, config);
  }

  /** A daemon lost what it had, by a fault that allows it. */
  recordStateLoss(node: string): void {
    this.appliedVersions.delete(node);
  }

  addLeader(node: string, term: number): void {
    const other = this.leaderByTerm.get(term) ?? node;
    if (other !== node) this.report(`term ${term}: led by ${other}, ${node}`);
    this.leaderByTerm.set(term, node);
  }

  /**
   * Compares the answers with the final state, in which each change has left a
   * class under its key, with the version that made it.
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
    for (let version = 2; version <= final.version; version += 1) {
      if (!byVersion.has(version)) this.report(`version ${version}: no change`);
    }
    for (const change of this.changes.values()) {
      this.checkChange(change, versions[change.key], byVersion);
    }
    for (const read of this.reads) {
      for (const [version, key] of byVersion) {
        const {sentAt: calledAt} = this.changes.get(key)!;
        if (version <= read.version && calledAt > read.answeredAt) {
          this.report(`a read saw ${key} before it was sent`);
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
    const {key, accepted, refused, versionAtSend: floor} = change;
    if (accepted !== undefined && version !== accepted) {
      this.report(`${key}: accepted as ${accepted}, but is ${version}`);
    }
    if (refused !== undefined && version !== undefined) {
      this.report(`${key}: refused with "${refused}", but is ${version}`);
    }
    const isSurelyNotMade =
      accepted === undefined &&
      refused === undefined &&
      !change.isUnknown &&
      change.unanswered === 0;
    if (isSurelyNotMade && version !== undefined) {
      this.report(`${key}: answered as not made, but is ${version}`);
    }
    if (version !== undefined && version <= floor) {
      this.report(`${key}: sent after ${floor} was shown, but is ${version}`);
    }
    if (refused !== 'conflict' || change.expected !== floor) return;
    // The version was the expected one when the change was sent, so another
    // change must have been able to overtake it.
    const competitor = byVersion.get(floor + 1);
    const competitorSentAt =
      competitor === undefined
        ? undefined
        : this.changes.get(competitor)!.sentAt;
    if (
      competitorSentAt === undefined ||
      competitorSentAt > change.decidedAt!
    ) {
      this.report(`${key}: lost against nothing at version ${floor}`);
    }
  }

  private checkContent(where: string, config: Config): void {
    const names = Object.keys(config.classes).sort();
    const content = names.join();
    const known = this.contentByVersion.get(config.version) ?? content;
    if (known !== content) {
      this.report(`${where}: another content of version ${config.version}`);
    }
    this.contentByVersion.set(config.version, content);
  }
}
