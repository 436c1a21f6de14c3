import {Result} from 'true-myth';
import type {Clock} from '../../src/core/clock/clock.js';
import type {PeerError} from '../../src/core/peer/peer_error.js';
import {PeerTransport} from '../../src/core/peer/peer_transport.js';
import type {RandomSource} from '../../src/core/random/random_source.js';

interface FakePeersOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Minimum delay of a message, in ms. Default 1. */
  readonly delayMs?: number;
}

/** Network between the nodes of a test, with delays, message loss and cuts. */
export class FakePeers {
  /** Probability that a message is lost, from 0 to 1. */
  loss = 0;
  /** Maximum random addition to the delay, in ms; reorders messages. */
  jitterMs = 0;
  /** Drops the messages for which it returns true. */
  shouldDrop: (to: string, body: unknown) => boolean = () => false;
  private readonly transports = new Map<string, FakeTransport>();
  private readonly cuts = new Set<string>();

  constructor(private readonly opts: FakePeersOptions) {}

  /** Connects a new process of a node; messages to the old one are lost. */
  attach(node: string): PeerTransport {
    const end = new FakeTransport(node, this);
    this.transports.set(node, end);
    return end;
  }

  /** Disconnects a node's process from the network. */
  detach(node: string): void {
    this.transports.delete(node);
  }

  /** Cuts the link between two nodes in both directions. */
  cut(a: string, b: string): void {
    this.cuts.add(linkKey(a, b));
    this.cuts.add(linkKey(b, a));
  }

  /** Cuts a node's links to all attached nodes. */
  isolate(node: string): void {
    for (const other of this.transports.keys()) this.cut(node, other);
  }

  heal(): void {
    this.cuts.clear();
  }

  /** Delivers a forged message from `from` immediately. */
  forge(from: string, to: string, kind: string, body: unknown): void {
    this.transports.get(to)?.receive(from, kind, body, this.opts.clock.now());
  }

  deliver(from: FakeTransport, to: string, kind: string, body: unknown): void {
    const {clock, random, delayMs = 1} = this.opts;
    const isLost = random.next() < this.loss || this.shouldDrop(to, body);
    const late = Math.floor(random.next() * (this.jitterMs + 1));
    if (isLost || this.cuts.has(linkKey(from.node, to))) return;
    if (this.transports.get(from.node) !== from) return;
    // Copied, so that later changes by the sender do not alter the message.
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
