import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {PeerError} from '../../core/peer/peer_error.js';
import {PeerTransport} from '../../core/peer/peer_transport.js';
import type {PeerAddress} from './peer_address.js';
import type {LinkTiming} from './link_timing.js';
import {PeerLink} from './peer_link.js';
import {PeerServer} from './peer_server.js';

/** Allowance for connections that were replaced but are not closed yet. */
const EXTRA_CONNECTIONS = 32;
/** Limit of connections if `locate` admits any node. */
const MAX_CONNECTIONS_WITH_LOCATE = 1_024;

interface TcpPeerTransportOptions {
  readonly node: string;
  readonly listen: {readonly host: string; readonly port: number};
  /** Addresses of the other daemons. */
  readonly peers: readonly PeerAddress[];
  /**
   * Returns the address of a node that `peers` does not contain. If set, any
   * node may connect, and links to new nodes are created on demand.
   */
  readonly locate?: (node: string) => PeerAddress;
  /** Heartbeat intervals of the links. Default `LinkTiming`. */
  readonly linkTiming?: LinkTiming;
  readonly clock: Clock;
  readonly onError: (detail: string) => void;
  /** Called with the kind of each message and request that was received. */
  readonly onHandled?: (kind: string) => void;
}

/** Peer messages as CBOR frames over one TCP connection per direction. */
export class TcpPeerTransport extends PeerTransport {
  private readonly links = new Map<string, PeerLink>();
  private readonly server: PeerServer;
  private isStarted = false;

  constructor(private readonly opts: TcpPeerTransportOptions) {
    super();
    const knownNodes = new Set(opts.peers.map(({node}) => node));
    this.server = new PeerServer({
      isAllowed: node => opts.locate !== undefined || knownNodes.has(node),
      maxConnections: opts.locate
        ? MAX_CONNECTIONS_WITH_LOCATE
        : 2 * opts.peers.length + EXTRA_CONNECTIONS,
      onHello: node => this.ensureLink(node),
      onMessage: (from, {kind, body}) => this.deliver(from, kind, body),
      onRequest: (from, {method, body}) =>
        this.handleRequest(from, method, body),
      onError: opts.onError,
    });
  }

  /** Starts listening and connecting; rejects if the address is in use. */
  async start(): Promise<void> {
    const {listen, peers} = this.opts;
    await this.server.listen(listen.port, listen.host);
    this.isStarted = true;
    for (const peer of peers) this.addLink(peer);
  }

  async stop(): Promise<void> {
    this.isStarted = false;
    for (const link of this.links.values()) link.close();
    await this.server.close();
  }

  /** Nodes to which the outgoing connection is open. */
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
    this.ensureLink(node)?.send({type: 'message', kind, body});
  }

  override async request(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    if (node === this.opts.node) {
      return this.handleLocalRequest(method, body);
    }
    const link = this.ensureLink(node);
    if (link) return link.request(method, body, timeoutMs);
    return Result.err({kind: 'unsent', detail: `unknown node ${node}`});
  }

  private addLink(peer: PeerAddress): PeerLink {
    const {node, clock, linkTiming} = this.opts;
    const link = new PeerLink(node, peer, clock, linkTiming);
    this.links.set(peer.node, link);
    return link;
  }

  private ensureLink(node: string): PeerLink | undefined {
    const {locate} = this.opts;
    const link = this.links.get(node);
    if (link || !locate || !this.isStarted) return link;
    return this.addLink(locate(node));
  }

  private async handleLocalRequest(
    method: string,
    body: unknown,
  ): Promise<Result<unknown, PeerError>> {
    try {
      return Result.ok(await this.handleRequest(this.opts.node, method, body));
    } catch (err) {
      this.opts.onError(`local request "${method}" failed: ${String(err)}`);
      return Result.err({kind: 'failed', detail: String(err)});
    }
  }

  /** Reports an error of the handler without closing the connection. */
  private deliver(from: string, kind: string, body: unknown): void {
    const handler = this.messageHandlers.get(kind);
    if (handler) this.opts.onHandled?.(kind);
    try {
      handler?.(from, body, this.opts.clock.now());
    } catch (err) {
      this.opts.onError(
        `handling message "${kind}" from ${from} failed: ${String(err)}`,
      );
    }
  }

  private async handleRequest(
    from: string,
    method: string,
    body: unknown,
  ): Promise<unknown> {
    const handler = this.requestHandlers.get(method);
    if (handler) this.opts.onHandled?.(method);
    if (!handler) throw new Error(`no handler for method "${method}"`);
    return handler(from, body);
  }
}
