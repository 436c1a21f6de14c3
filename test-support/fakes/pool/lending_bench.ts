import type {PoolDispatcher} from '../../../src/core/pool/dispatcher/pool_dispatcher.js';
import type {PoolSubmission} from '../../../src/core/pool/job/pool_submission.js';
import {CapacityLending} from '../../../src/core/pool/lending/capacity_lending.js';
import {RoomOffers} from '../../../src/core/pool/lending/room_offers.js';
import {FakeClock} from '../fake_clock.js';
import {PoolBench} from './pool_bench.js';

const TICK_MS = 20;
const OFFER_MS = 200;
const PATH_MS = 1;

interface Zone {
  readonly name: string;
  readonly bench: PoolBench;
  readonly offers: RoomOffers;
  readonly lending: CapacityLending;
  dispatcher: PoolDispatcher;
  /** Whether the last offer was empty. */
  isEmpty: boolean;
}

/**
 * Test bench with a dispatcher for each of several zones, which exchange offers,
 * and one entry node that follows redirects.
 */
export class LendingBench {
  readonly clock = new FakeClock();
  readonly zones: readonly Zone[];
  /** Jobs that were redirected, and the zones they went to. */
  readonly redirects: Array<{readonly id: string; readonly zone: string}> = [];
  /** Counters and events of all zones. */
  readonly counts = new Map<string, number>();
  /** Whether a redirect reaches the entry node. */
  isDelivered: (id: string) => boolean = () => true;
  /** Whether offers are exchanged. */
  areOffersSent = true;
  private readonly submissions = new Map<string, PoolSubmission>();

  constructor(zones: number, workersEach: number, tasksEach = 2) {
    this.zones = Array.from({length: zones}, (_, n) => {
      const bench = new PoolBench(workersEach, tasksEach, this.clock);
      const offers = new RoomOffers();
      const count = (event: string) =>
        this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
      const lending = new CapacityLending({
        offers,
        remoteFactor: 2,
        redirect: (_owner, id, {zone}) => this.onRedirect(id, zone),
        observer: {
          recordJobEvent: count,
          recordStateChange: count,
          recordResponseTime: () => undefined,
          recordPhase: () => undefined,
          incrementCounter: count,
        },
      });
      const dispatcher = bench.createDispatcher({lending});
      return {name: `z${n}`, bench, offers, lending, dispatcher, isEmpty: true};
    });
  }

  submit(zone: number, submission: PoolSubmission): void {
    this.submissions.set(submission.job.id, submission);
    this.zones[zone]!.dispatcher.submit('e', submission);
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
      this.clock.advance(1);
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
      const now = this.clock.now();
      if (now % TICK_MS === 0) {
        for (const {bench, dispatcher} of this.zones) bench.tick(dispatcher);
      }
      if (this.areOffersSent) this.sendDueOffers(now);
    }
  }

  /** Kinds of answers to the jobs, in the order of the ids. */
  answerOf(id: string): string | undefined {
    const kinds = this.zones.flatMap(z => z.bench.answers.get(id)?.kind ?? []);
    return kinds.at(-1);
  }

  answeredAt(id: string): number {
    const times = this.zones.map(z => z.bench.answeredAt.get(id) ?? 0);
    return Math.max(...times);
  }

  /** Tasks of which two runs overlapped in time, in whichever zones. */
  overlaps(): string[] {
    const all = this.zones.flatMap(({bench}) =>
      [...bench.workers.values()].flatMap(w => w.history),
    );
    return all
      .filter(a =>
        all.some(
          b => a !== b && a.task === b.task && a.from < b.to && b.from < a.to,
        ),
      )
      .map(a => a.task);
  }

  /** Sends offers every 200 ms, and at once those that have become empty. */
  private sendDueOffers(now: number): void {
    for (const zone of this.zones) {
      const room = zone.dispatcher.room(now);
      const hasBecomeEmpty = room.cpu === 0 && !zone.isEmpty;
      if (now % OFFER_MS !== 0 && !hasBecomeEmpty) continue;
      zone.isEmpty = room.cpu === 0;
      const {name, dispatcher} = zone;
      const {token} = dispatcher;
      const offer = {node: name, zone: name, token, room, pathMs: PATH_MS};
      for (const {name: other, offers} of this.zones) {
        if (other === name) continue;
        this.clock.schedule(PATH_MS, () =>
          offers.record({...offer, heardAt: this.clock.now()}),
        );
      }
    }
  }

  private onRedirect(id: string, zone: string): void {
    this.redirects.push({id, zone});
    if (!this.isDelivered(id)) return;
    const sentAt = this.clock.now();
    this.clock.schedule(2 * PATH_MS, () => {
      const submission = this.submissions.get(id)!;
      const to = this.zones.find(({name}) => name === zone)!;
      const waitedMs = submission.waitedMs + this.clock.now() - sentAt;
      to.dispatcher.submit('e', {...submission, waitedMs, isLent: true});
    });
  }
}
