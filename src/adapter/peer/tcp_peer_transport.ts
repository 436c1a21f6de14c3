import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';
import type {PeerError} from '../../core/peer/peer_error.js';
import {PeerTransport} from '../../core/peer/peer_transport.js';
import {FrameCodec} from './frame_codec.js';
import type {PeerAddress} from './peer_address.js';
import type {PeerFrame} from './peer_frame.js';
import {PeerLink} from './peer_link.js';

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
  private readonly server: Server;
  private readonly inbound = new Set<Socket>();

  constructor(private readonly opts: TcpPeerTransportOptions) {
    super();
    this.server = createServer({noDelay: true}, socket => this.serve(socket));
  }

  /** Starts to listen and to dial; rejects if the address is taken. */
  async start(): Promise<void> {
    const {listen, peers, node, clock} = this.opts;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(listen.port, listen.host, resolve);
    });
    for (const peer of peers) {
      this.links.set(peer.node, new PeerLink(node, peer, clock));
    }
  }

  async stop(): Promise<void> {
    for (const link of this.links.values()) link.close();
    for (const socket of this.inbound) socket.destroy();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  /** Nodes with an open connection from here. */
  connected(): string[] {
    return [...this.links]
      .filter(([, link]) => link.isConnected)
      .map(([node]) => node);
  }

  override send(node: string, kind: string, body: unknown): void {
    if (node === this.opts.node) {
      this.messageHandlers.get(kind)?.(node, body, this.opts.clock.now());
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
      return Result.ok(await this.handle(node, method, body));
    }
    const link = this.links.get(node);
    if (link) return link.request(method, body, timeoutMs);
    return Result.err({kind: 'unsent', detail: `unknown node ${node}`});
  }

  private serve(socket: Socket): void {
    const codec = new FrameCodec();
    let from = '';
    this.inbound.add(socket);
    socket.on('close', () => this.inbound.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const frames = codec.push(chunk);
      if (frames.isErr) {
        this.opts.onError(`peer connection from "${from}": ${frames.error}`);
        socket.destroy();
        return;
      }
      for (const frame of frames.value) {
        if (frame.type === 'hello') from = frame.node;
        else this.receive(socket, from, frame);
      }
    });
  }

  private receive(socket: Socket, from: string, frame: PeerFrame): void {
    switch (frame.type) {
      case 'ping':
        socket.write(FrameCodec.encode({type: 'pong'}));
        return;
      case 'message': {
        const now = this.opts.clock.now();
        this.messageHandlers.get(frame.kind)?.(from, frame.body, now);
        return;
      }
      case 'request':
        void this.respond(socket, from, frame);
        return;
      default:
        return;
    }
  }

  private async respond(
    socket: Socket,
    from: string,
    frame: Extract<PeerFrame, {type: 'request'}>,
  ): Promise<void> {
    const body = await this.handle(from, frame.method, frame.body);
    if (socket.destroyed) return;
    socket.write(FrameCodec.encode({type: 'response', id: frame.id, body}));
  }

  private async handle(
    from: string,
    method: string,
    body: unknown,
  ): Promise<unknown> {
    return this.requestHandlers.get(method)?.(from, body);
  }
}
