import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {PeerError} from '../../core/peer/peer_error.js';
import {PeerTransport} from '../../core/peer/peer_transport.js';
import type {PeerAddress} from './peer_address.js';
import {PeerLink} from './peer_link.js';
import {PeerServer} from './peer_server.js';

interface TcpPeerTransportOptions {
  readonly node: string;
  readonly listen: {readonly host: string; readonly port: number};
  /** The other daemons. */
  readonly peers: readonly PeerAddress[];
  readonly clock: Clock;
  readonly onError: (detail: string) => void;
}

/** Peer messages as CBOR frames over one TCP connection in each direction. */
export class TcpPeerTransport extends PeerTransport {
  private readonly links = new Map<string, PeerLink>();
  private readonly server: PeerServer;

  constructor(private readonly opts: TcpPeerTransportOptions) {
    super();
    this.server = new PeerServer({
      nodes: new Set(opts.peers.map(({node}) => node)),
      onMessage: (from, {kind, body}) => this.deliver(from, kind, body),
      onRequest: (from, {method, body}) => this.handle(from, method, body),
      onError: opts.onError,
    });
  }

  /** Starts to listen and to dial; rejects if the address is taken. */
  async start(): Promise<void> {
    const {listen, peers, node, clock} = this.opts;
    await this.server.listen(listen.port, listen.host);
    for (const peer of peers) {
      this.links.set(peer.node, new PeerLink(node, peer, clock));
    }
  }

  async stop(): Promise<void> {
    for (const link of this.links.values()) link.close();
    await this.server.close();
  }

  /** Nodes with an open connection from here. */
  connected(): string[] {
    return [...this.links]
      .filter(([, link]) => link.isConnected)
      .map(([node]) => node);
  }

  override send(node: string, kind: string, body: unknown): void {
    if (node === this.opts.node) {
      this.deliver(node, kind, body);
      return;
    }
    this.links.get(node)?.send({type: 'message', kind, body});
  }

  override async request(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    if (node === this.opts.node) {
      return this.handleOwn(method, body);
    }
    const link = this.links.get(node);
    if (link) return link.request(method, body, timeoutMs);
    return Result.err({kind: 'unsent', detail: `unknown node ${node}`});
  }

  private async handleOwn(
    method: string,
    body: unknown,
  ): Promise<Result<unknown, PeerError>> {
    try {
      return Result.ok(await this.handle(this.opts.node, method, body));
    } catch (err) {
      this.opts.onError(`own request "${method}": ${String(err)}`);
      return Result.err({kind: 'failed', detail: String(err)});
    }
  }

  /** A message whose handler throws is reported; the connection goes on. */
  private deliver(from: string, kind: string, body: unknown): void {
    const handler = this.messageHandlers.get(kind);
    try {
      handler?.(from, body, this.opts.clock.now());
    } catch (err) {
      this.opts.onError(`message "${kind}" of ${from}: ${String(err)}`);
    }
  }

  private async handle(
    from: string,
    method: string,
    body: unknown,
  ): Promise<unknown> {
    const handler = this.requestHandlers.get(method);
    if (!handler) throw new Error(`there is no method "${method}"`);
    return handler(from, body);
  }
}
