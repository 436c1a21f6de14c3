import {Result} from 'true-myth';
import type {Clock} from '../../src/core/clock/clock.js';
import type {PeerError} from '../../src/core/peer/peer_error.js';
import {PeerTransport} from '../../src/core/peer/peer_transport.js';

const ONE_WAY_MS = 0.5;

/** Network of nodes in one process for requests and messages; fixed delay. */
export class InMemoryPeers {
  /** Nodes that can neither send to nor receive from other nodes. */
  readonly cut = new Set<string>();
  private readonly nodes = new Map<string, MemoryTransport>();

  constructor(
    readonly clock: Clock,
    private readonly delayMs = ONE_WAY_MS,
  ) {}

  node(name: string): PeerTransport {
    const transport = new MemoryTransport(name, this);
    this.nodes.set(name, transport);
    return transport;
  }

  /** Calls `act` with the receiving node after the delay, unless it is cut. */
  deliver(
    from: string,
    to: string,
    act: (node: MemoryTransport) => void,
  ): void {
    const delayMs = from === to ? 0 : this.delayMs;
    this.clock.schedule(delayMs, () => {
      const node = this.nodes.get(to);
      const isCut = from !== to && (this.cut.has(from) || this.cut.has(to));
      if (node && !isCut) act(node);
    });
  }
}

class MemoryTransport extends PeerTransport {
  constructor(
    private readonly name: string,
    private readonly net: InMemoryPeers,
  ) {
    super();
  }

  override send(node: string, kind: string, body: unknown): void {
    const {name, net} = this;
    net.deliver(name, node, other =>
      other.messageHandlers.get(kind)?.(name, body, net.clock.now()),
    );
  }

  override request(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    const {name, net} = this;
    return new Promise(resolve => {
      net.clock.schedule(timeoutMs, () =>
        resolve(Result.err({kind: 'lost', detail: 'no response'})),
      );
      net.deliver(name, node, other => {
        void other.requestHandlers
          .get(method)?.(name, body)
          .then(res => {
            net.deliver(node, name, () => resolve(Result.ok(res)));
          });
      });
    });
  }
}
