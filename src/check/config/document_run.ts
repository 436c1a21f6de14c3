import type {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import {createPlatformConfigBench} from '../../../test-support/fakes/create_platform_config_bench.js';
import {DocumentFaults} from './document_faults.js';
import {DocumentHistory} from './document_history.js';
import type {DocumentScenario} from './document_scenario.js';

type Command = DocumentScenario['commands'][number];

/** Bound of the deployment on which the rule was broken. */
const APPLY_MS = 2_500;
const FOLLOWERS = 3;
const VOTERS = 5;
const OBSERVE_MS = 50;
const CALM_MS = 8_000;
/**
 * Time from when the machines have caught up, 6 s after they are back, until
 * `recovery_s` (15 s).
 */
const RECOVERY_MS = 9_000;
const OVERLOAD_RECOVERY_MS = 15_000;
/** Step in which the end of all faults is awaited. */
const WAIT_MS = 100;
const MAX_LOSS = 0.2;
const MAX_SUSPENSION_MS = 7_000;
const MAX_STALL_MS = 2_500;
const MAX_LAG_MS = 2_000;
/** Longest time for which faults last, in ms. */
const LONG_MS = 5_000;
/**
 * Longest time until a silent connection that carries a message a second is
 * noticed, after two pings without an answer, and opened again.
 */
const SILENCE_MS = 2_400;

interface DocumentRunOptions {
  /**
   * Whether all processes lag on an overloaded machine, which the rules don't
   * count as lost. Default false.
   */
  readonly isOverloaded?: boolean;
}

/** Runs one scenario of published documents and records its history. */
export class DocumentRun {
  readonly history: DocumentHistory;
  /** Number of executed commands by kind. */
  readonly counts = new Map<Command['kind'], number>();
  private readonly bench: ConfigBench;
  private readonly faults: DocumentFaults;
  private readonly documents: Array<{revision: number; content: string}> = [];
  private revision = 0;

  constructor(
    private readonly scenario: DocumentScenario,
    private readonly opts: DocumentRunOptions = {},
  ) {
    this.bench = createPlatformConfigBench({
      seed: scenario.seed,
      followers: FOLLOWERS,
    });
    const {bench} = this;
    this.history = new DocumentHistory(APPLY_MS, bench.clock.now());
    this.faults = new DocumentFaults(bench, this.history);
    bench.onStart = id => {
      this.history.recordStart(id);
      this.faults.noteStarted(id);
    };
  }

  run(): void {
    const {bench} = this;
    bench.startAll();
    bench.clock.advance(CALM_MS);
    this.observe();
    if (this.opts.isOverloaded) this.faults.overload();
    for (const command of this.scenario.commands) {
      if (this.execute(command)) {
        this.counts.set(command.kind, (this.counts.get(command.kind) ?? 0) + 1);
      }
      bench.clock.advance(command.waitMs);
    }
    while (!this.faults.isOver) bench.clock.advance(WAIT_MS);
    if (this.opts.isOverloaded) {
      this.faults.endOverload();
      bench.clock.advance(OVERLOAD_RECOVERY_MS);
    } else {
      bench.clock.advance(RECOVERY_MS);
    }
    this.checkRecovered();
  }

  private execute({kind, index, otherIndex}: Command): boolean {
    const {bench, faults} = this;
    const running = faults.machines.filter(id => bench.running.has(id));
    const id = running[index % Math.max(1, running.length)];
    const other = running[otherIndex % Math.max(1, running.length)];
    const share = otherIndex / 1_000;
    const lastsMs = share * LONG_MS;
    switch (kind) {
      case 'publish':
        this.revision += 1 + (otherIndex % 3);
        return this.publish(id, this.revision, `${this.revision}`);
      case 'race':
        this.revision += 1;
        return (
          this.publish(id, this.revision, `${this.revision} of one`) &&
          this.publish(other, this.revision, `${this.revision} of another`)
        );
      case 'resend': {
        const earlier = this.documents[otherIndex % this.documents.length];
        if (!earlier) return false;
        return this.publish(id, earlier.revision, earlier.content);
      }
      case 'read':
        return this.read(id, () => undefined);
      case 'lose_disks':
        return faults.loseDisks(index, lastsMs, false);
      case 'replace_machines':
        return faults.loseDisks(index, lastsMs, true);
      case 'power_loss':
        return faults.losePower(index, lastsMs);
      case 'kill_core':
        return faults.killCore();
      case 'cut':
        return faults.cut(index, otherIndex, lastsMs, false);
      case 'cut_one_way':
        return faults.cut(index, otherIndex, lastsMs, true);
      case 'drop_messages':
        return faults.silence(index, SILENCE_MS);
      case 'transfer': {
        const {leader} = bench;
        if (leader === undefined) return false;
        bench.run(leader, (node, now) => node.transferLeadership(now));
        return true;
      }
      case 'stall':
        return faults.freeze(index, share * MAX_STALL_MS, false);
      case 'suspend':
        return faults.freeze(index, share * MAX_SUSPENSION_MS, true);
      case 'lag':
        return faults.slow(index, (index / 1_000) * MAX_LAG_MS, lastsMs);
      case 'lose_messages':
        return faults.loseMessages((index / 1_000) * MAX_LOSS, lastsMs);
      case 'calm':
        bench.clock.advance(CALM_MS);
        return true;
    }
  }

  private publish(
    id: string | undefined,
    revision: number,
    content: string,
  ): boolean {
    if (id === undefined) return false;
    const {bench, history} = this;
    this.documents.push({revision, content});
    const published = history.recordSend(revision, content);
    const request = {kind: 'publish', document: {revision, content}} as const;
    bench.submit(id, request, answer => {
      if (!('kind' in answer)) return;
      const at = bench.clock.now();
      if (answer.kind === 'accepted') history.recordAcknowledged(published, at);
      else history.report(at, `${revision}: answered ${answer.kind}`);
    });
    return true;
  }

  private read(id: string | undefined, onRead: () => void): boolean {
    if (id === undefined) return false;
    const {bench, history} = this;
    const sentAt = bench.clock.now();
    bench.submit(id, {kind: 'read'}, answer => {
      if (!('kind' in answer) || answer.kind !== 'config') return;
      const {revision = 0, content = ''} = answer.config.document ?? {};
      history.recordRead(sentAt, revision, content);
      onRead();
    });
    return true;
  }

  private observe(): void {
    const {bench, history} = this;
    const now = bench.clock.now();
    for (const [id, node] of bench.running) {
      const {revision = 0, content = ''} = node.source.current().document ?? {};
      history.observe(id, revision, content, now);
    }
    bench.clock.schedule(OBSERVE_MS, () => this.observe());
  }

  /** Checks that the document is read, and that two disks may be lost again. */
  private checkRecovered(): void {
    const {bench, history, faults} = this;
    const unread = new Set(faults.machines);
    for (const id of faults.machines) this.read(id, () => unread.delete(id));
    bench.clock.advance(CALM_MS);
    const now = bench.clock.now();
    if (unread.size > 0) {
      history.report(now, `not readable at ${[...unread].join()}`);
    }
    const {leader} = bench;
    if (leader === undefined) {
      history.report(now, 'no leader after all faults ended');
      return;
    }
    const log = bench.node(leader).logMember!;
    const {voters, replacing} = log.store.members;
    const sound = voters.filter(v => {
      const member = bench.running.get(v.node)?.logMember;
      return member?.id.storage === v.storage;
    });
    if (sound.length === VOTERS && voters.length === VOTERS) return;
    const planned = replacing
      ? `, ${replacing.old.node} replaced by ${replacing.next.node}`
      : '';
    history.report(
      now,
      `${sound.length} of ${voters.length} voters are there${planned}`,
    );
  }
}
