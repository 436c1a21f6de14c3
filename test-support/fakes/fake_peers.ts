import {Result} from 'true-myth';
import type {Clock} from '../../src/core/clock/clock.js';
import type {PeerError} from '../../src/core/peer/peer_error.js';
import {PeerTransport} from '../../src/core/peer/peer_transport.js';
import type {RandomSource} from '../../src/core/random/random_source.js';

interface FakePeersOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Least time of a message on its way. Default 1. */
  readonly delayMs?: number;
}

/** The links between nodes of a test: they delay, lose and cut messages. */
export class FakePeers {
  /** Share of messages that are lost. */
  loss = 0;
  /** Largest random addition to the delay; it reorders messages. */
  jitterMs = 0;
  /** Loses the messages for which it is true. */
  shouldDrop: (to: string, body: unknown) => boolean = () => false;
  private readonly transports = new Map<string, FakeTransport>();
  private readonly cuts = new Set<string>();

  constructor(private readonly opts: FakePeersOptions) {}

  /** A new process at a node; messages to the earlier one are lost. */
  attach(node: string): PeerTransport {
    const end = new FakeTransport(node, this);
    this.transports.set(node, end);
    return end;
  }

  /** Takes a node's process off the network. */
  detach(node: string): void {
    this.transports.delete(node);
  }

  /** Cuts both directions between two nodes. */
  cut(a: string, b: string): void {
    this.cuts.add(linkKey(a, b));
    this.cuts.add(linkKey(b, a));
  }

  /** Cuts a node off from all others. */
  isolate(node: string): void {
    for (const other of this.transports.keys()) this.cut(node, other);
  }

  heal(): void {
    this.cuts.clear();
  }

  /** Delivers a message at once that no process of `from` has sent. */
  forge(from: string, to: string, kind: string, body: unknown): void {
    this.transports.get(to)?.receive(from, kind, body, this.opts.clock.now());
  }

  deliver(from: FakeTransport, to: string, kind: string, body: unknown): void {
    const {clock, random, delayMs = 1} = this.opts;
    const isLost = random.next() < this.loss || this.shouldDrop(to, body);
    const late = Math.floor(random.next() * (this.jitterMs + 1));
    if (isLost || this.cuts.has(linkKey(from.node, to))) return;
    if (this.transports.get(from.node) !== from) return;
    // What is on its way must not change with its sender's records.
    const copy: unknown = structuredClone(body);
    const end = this.transports.get(to);
    clock.schedule(delayMs + late, () => {
      if (this.cuts.has(linkKey(from.node, to))) return;
      if (end && this.transports.get(to) === end) {
        end.receive(from.node, kind, copy, clock.now());
      }
    });
  }
}

/** The transport of one process. */
class FakeTransport extends PeerTransport {
  constructor(
    readonly node: string,
    private readonly peers: FakePeers,
  ) {
    super();
  }

  override send(node: string, kind: string, body: unknown): void {
    this.peers.deliver(this, node, kind, body);
  }

  override async request(): Promise<Result<unknown, PeerError>> {
    return Result.err({kind: 'unsent', detail: 'messages only'});
  }

  receive(from: string, kind: string, body: unknown, now: number): void {
    this.messageHandlers.get(kind)?.(from, body, now);
  }
}

function linkKey(from: string, to: string): string {
  return `${from} ${to}`;
}
