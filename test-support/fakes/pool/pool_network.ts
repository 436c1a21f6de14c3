import {Encoder} from 'cbor-x';
import {Result} from 'true-myth';
import type {PeerError} from '../../../src/core/peer/peer_error.js';
import {PeerTransport} from '../../../src/core/peer/peer_transport.js';
import type {SuspendableClock} from './suspendable_clock.js';

const ONE_WAY_MS = 0.5;
const cbor = new Encoder({useRecords: false, mapsAsObjects: true});

/** Network of nodes that can be suspended, stopped and cut off. */
export class PoolNetwork {
  /** Bytes of messages sent, by node. */
  readonly bytes = new Map<string, number>();
  /** Whether messages from one node reach another. */
  isConnected: (from: string, to: string) => boolean = () => true;
  /** Time that a message from one node to another takes, in ms. */
  delayMs: (from: string, to: string) => number = () => ONE_WAY_MS;
  /** Whether a message is lost although the nodes are connected. */
  isLost: (from: string, to: string, kind: string) => boolean = () => false;
  /** Changes the messages from one node to another, as an older process would. */
  translate: (from: string, to: string, body: unknown) => unknown = (
    _from,
    _to,
    body,
  ) => body;
  private readonly nodes = new Map<string, PoolTransport>();
  /** When the last message of each link arrives; they arrive in order. */
  private readonly arrivals = new Map<string, number>();

  connect(node: string, clock: SuspendableClock): PeerTransport {
    const transport = new PoolTransport(node, clock, this);
    this.nodes.set(node, transport);
    return transport;
  }

  disconnect(node: string): void {
    this.nodes.delete(node);
  }

  /** Passes a message to the node `to`, unless one of both is cut or down. */
  deliver(
    from: PoolTransport,
    to: string,
    body: unknown,
    handle: (receiver: PoolTransport, body: unknown) => void,
  ): void {
    if (this.nodes.get(from.node) !== from) return;
    const encoded = cbor.encode(this.translate(from.node, to, body));
    const sent = (this.bytes.get(from.node) ?? 0) + encoded.length;
    this.bytes.set(from.node, sent);
    // The network goes on while the sender is suspended.
    from.clock.clock.schedule(this.delayOf(from, to), () => {
      const receiver = this.nodes.get(to);
      if (!receiver || !this.isConnected(from.node, to)) return;
      receiver.clock.receive(() => {
        if (this.nodes.get(to) !== receiver) return;
        handle(receiver, cbor.decode(encoded));
      });
    });
  }

  private delayOf({node, clock}: PoolTransport, to: string): number {
    const link = `${node} ${to}`;
    const at = clock.now() + this.delayMs(node, to);
    const arrival = Math.max(at, this.arrivals.get(link) ?? 0);
    this.arrivals.set(link, arrival);
    return arrival - clock.now();
  }
}

class PoolTransport extends PeerTransport {
  constructor(
    readonly node: string,
    readonly clock: SuspendableClock,
    private readonly network: PoolNetwork,
  ) {
    super();
  }

  override send(node: string, kind: string, body: unknown): void {
    if (this.network.isLost(this.node, node, kind)) return;
    this.network.deliver(this, node, body, (receiver, decoded) => {
      const handler = receiver.messageHandlers.get(kind);
      handler?.(this.node, decoded, receiver.clock.now());
    });
  }

  override request(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    return new Promise(resolve => {
      this.clock.schedule(timeoutMs, () =>
        resolve(Result.err({kind: 'lost', detail: 'no response'})),
      );
      this.network.deliver(this, node, body, (receiver, decoded) => {
        const handler = receiver.requestHandlers.get(method);
        void handler?.(this.node, decoded).then(res =>
          this.network.deliver(receiver, this.node, res, (_self, reply) =>
            resolve(Result.ok(reply)),
          ),
        );
      });
    });
  }
}
