import {Encoder} from 'cbor-x';
import {Result} from 'true-myth';
import type {PeerError} from '../../src/core/peer/peer_error.js';
import {PeerTransport} from '../../src/core/peer/peer_transport.js';
import type {FakeClock} from './fake_clock.js';
import type {SeededRandom} from './seeded_random.js';

const cbor = new Encoder({useRecords: false, mapsAsObjects: true});

/** Network for one-way messages, with random loss and delay, and cuts. */
export class LossyPeers {
  /** Probability that a message is lost, from 0 to 1. */
  loss = 0;
  minDelayMs = 0.5;
  maxDelayMs = 1.5;
  /**
   * Delay of a second copy of a message, also of a lost one, as a sender creates
   * that sends it again; undefined for no copy.
   */
  copyDelay: (kind: string, body: unknown) => number | undefined = () =>
    undefined;
  /** Hands a message that has arrived at a node to its event loop. */
  onArrival: (node: string, deliver: (now: number) => void) => void = (
    _node,
    deliver,
  ) => deliver(this.clock.now());
  /** Number of messages sent and received, by node. */
  readonly messages = new Map<string, number>();
  /** Number of bytes sent and received, by node. */
  readonly bytes = new Map<string, number>();
  /** Number of messages lost by chance or by a cut. */
  lost = 0;
  private readonly transports = new Map<string, LossyTransport>();
  private readonly cuts = new Set<string>();

  constructor(
    readonly clock: FakeClock,
    private readonly random: SeededRandom,
  ) {}

  /** Creates the transport of a starting node; disconnects its earlier one. */
  connect(node: string): PeerTransport {
    const end = new LossyTransport(node, this);
    this.transports.set(node, end);
    return end;
  }

  disconnect(node: string): void {
    this.transports.delete(node);
  }

  /** Cuts the link from one node to another, in this direction only. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Cuts all links between `nodes` and `others`, in both directions. */
  isolate(nodes: readonly string[], others: readonly string[]): void {
    for (const a of nodes) {
      for (const b of others) {
        if (nodes.includes(b)) continue;
        this.cut(a, b);
        this.cut(b, a);
      }
    }
  }

  heal(): void {
    this.cuts.clear();
  }

  transmit(
    from: LossyTransport,
    to: string,
    kind: string,
    body: unknown,
  ): void {
    if (this.transports.get(from.node) !== from) return;
    const encoded = cbor.encode(body);
    this.count(from.node, encoded.length);
    const deliver = () => {
      // A cut also drops messages in transit.
      if (this.cuts.has(`${from.node}>${to}`)) return;
      const end = this.transports.get(to);
      if (!end) return;
      this.count(to, encoded.length);
      this.onArrival(to, now =>
        end.deliver(from.node, kind, cbor.decode(encoded), now),
      );
    };
    const copyDelay = this.copyDelay(kind, body);
    if (copyDelay !== undefined) this.clock.schedule(copyDelay, deliver);
    const isCut = this.cuts.has(`${from.node}>${to}`);
    if (isCut || this.random.next() < this.loss) {
      this.lost += 1;
      return;
    }
    const spread = this.maxDelayMs - this.minDelayMs;
    const delay = this.minDelayMs + this.random.next() * spread;
    this.clock.schedule(delay, deliver);
  }

  private count(node: string, bytes: number): void {
    this.messages.set(node, (this.messages.get(node) ?? 0) + 1);
    this.bytes.set(node, (this.bytes.get(node) ?? 0) + bytes);
  }
}

class LossyTransport extends PeerTransport {
  constructor(
    readonly node: string,
    private readonly network: LossyPeers,
  ) {
    super();
  }

  override send(node: string, kind: string, body: unknown): void {
    this.network.transmit(this, node, kind, body);
  }

  /** Only requests of a node to itself are supported. */
  override async request(
    node: string,
    method: string,
    body: unknown,
  ): Promise<Result<unknown, PeerError>> {
    const handler = this.requestHandlers.get(method);
    if (node === this.node && handler) {
      return Result.ok(await handler(node, body));
    }
    return Result.err({kind: 'unsent', detail: 'one-way messages only'});
  }

  deliver(from: string, kind: string, body: unknown, now: number): void {
    this.messageHandlers.get(kind)?.(from, body, now);
  }
}
