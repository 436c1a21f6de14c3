/** Time without faults after which a node is in touch and the core stable. */
const CONTACT_MS = 4_000;

interface Published {
  readonly revision: number;
  readonly content: string;
  /** Time of the first acknowledgement. */
  ackedAt?: number;
}

/**
 * Records published documents, reads and the documents in force, and reports
 * broken rules of the configuration (rule CONFIG of the users' pages).
 */
export class DocumentHistory {
  readonly violations: string[] = [];
  private readonly sent: Published[] = [];
  private readonly contents = new Map<number, string>();
  private readonly inForce = new Map<string, number>();
  /** Revision for which a node was last reported as late. */
  private readonly reportedFloor = new Map<string, number>();
  /** Time of the last fault of the core, and of each node. */
  private coreFaultAt = Number.NEGATIVE_INFINITY;
  private readonly faultAt = new Map<string, number>();

  constructor(
    private readonly applyMs: number,
    private readonly startedAt: number,
  ) {}

  get acknowledged(): number {
    return this.sent.filter(p => p.ackedAt !== undefined).length;
  }

  /** Highest revision that was acknowledged by a time; 0 if none was. */
  floorAt(at: number): number {
    const acked = this.sent.filter(p => (p.ackedAt ?? Infinity) <= at);
    return Math.max(0, ...acked.map(p => p.revision));
  }

  recordSend(revision: number, content: string): Published {
    const published = {revision, content};
    this.sent.push(published);
    return published;
  }

  recordAcknowledged(published: Published, at: number): void {
    published.ackedAt ??= at;
  }

  /**
   * Records an event that makes the core unstable for a while; for a fault that
   * lasts, its end, which may lie ahead.
   */
  recordCoreFault(at: number): void {
    this.coreFaultAt = Math.max(this.coreFaultAt, at);
  }

  /** Records that a fault of nodes begins, which lasts until `recordMended`. */
  recordFault(nodes: readonly string[]): void {
    for (const node of nodes) {
      this.faultAt.set(node, Number.POSITIVE_INFINITY);
    }
  }

  /** Records the end of a fault, or a fault that is over as it begins. */
  recordMended(nodes: readonly string[], at: number): void {
    for (const node of nodes) this.faultAt.set(node, at);
  }

  /** Records a new process of a node, which may start with an older document. */
  recordStart(node: string): void {
    this.inForce.delete(node);
  }

  recordRead(sentAt: number, revision: number, content: string): void {
    const floor = this.floorAt(sentAt);
    if (revision < floor) {
      this.report(sentAt, `a read returned ${revision} after ${floor}`);
    }
    this.checkContent(sentAt, 'a read', revision, content);
  }

  /** Records the document in force at a node; called at a fixed interval. */
  observe(node: string, revision: number, content: string, at: number): void {
    const before = this.inForce.get(node) ?? 0;
    if (revision < before) {
      this.report(at, `${node} went back from ${before} to ${revision}`);
    }
    this.inForce.set(node, revision);
    this.checkContent(at, node, revision, content);
    const isInTouch =
      at - this.coreFaultAt >= CONTACT_MS &&
      at - (this.faultAt.get(node) ?? Number.NEGATIVE_INFINITY) >= CONTACT_MS;
    const floor = this.floorAt(at - this.applyMs);
    if (!isInTouch || revision >= floor) return;
    const {ackedAt} = this.sent.find(
      p => p.revision === floor && p.ackedAt !== undefined,
    )!;
    const late = Math.round(at - ackedAt!);
    if (this.reportedFloor.get(node) === floor) return;
    this.reportedFloor.set(node, floor);
    this.report(at, `${node} has ${revision}, ${late} ms after ${floor}`);
  }

  report(at: number, violation: string): void {
    this.violations.push(`${Math.round(at - this.startedAt)}: ${violation}`);
  }

  /** Of documents that were sent under one revision, one counts for good. */
  private checkContent(
    at: number,
    where: string,
    revision: number,
    content: string,
  ): void {
    if (revision === 0) return;
    const known = this.sent.filter(p => p.revision === revision);
    if (!known.some(p => p.content === content)) {
      this.report(at, `${where}: ${revision} was not sent like this`);
    }
    const counts = this.contents.get(revision) ?? content;
    this.contents.set(revision, counts);
    if (counts !== content) {
      this.report(at, `${where}: ${revision} has two contents`);
    }
  }
}
