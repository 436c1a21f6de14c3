import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {FrameCodec} from './frame_codec.js';
import {FrameWriter} from './frame_writer.js';
import type {PeerFrame} from './peer_frame.js';

/** The dialling side pings twice a second; a silent connection is dropped. */
const IDLE_TIMEOUT_MS = 5_000;
/** Time for the first frame, which names the node. */
const HELLO_TIMEOUT_MS = 2_000;
/** A node that reads more slowly than it asks is cut off. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;
const MAX_DETAIL_LENGTH = 4_096;

type MessageFrame = Extract<PeerFrame, {type: 'message'}>;
type RequestFrame = Extract<PeerFrame, {type: 'request'}>;

interface PeerServerOptions {
  /** Whether a node may connect. */
  readonly isAllowed: (node: string) => boolean;
  /** Bounds the open connections. */
  readonly maxConnections: number;
  /** Called when a node has named itself on a new connection. */
  readonly onHello?: (node: string) => void;
  readonly onMessage: (from: string, frame: MessageFrame) => void;
  /** Rejects when the request cannot be handled. */
  readonly onRequest: (from: string, frame: RequestFrame) => Promise<unknown>;
  readonly onError: (detail: string) => void;
}

/** Takes the connections of other daemons, one for each. */
export class PeerServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly socketsByNode = new Map<string, Socket>();
  private readonly writers = new WeakMap<Socket, FrameWriter>();

  constructor(private readonly opts: PeerServerOptions) {
    this.server = createServer({noDelay: true}, socket =>
      this.handleConnection(socket),
    );
    this.server.maxConnections = opts.maxConnections;
  }

  /** Connections that are open. */
  get openConnections(): number {
    return this.sockets.size;
  }

  /** Starts to listen; rejects if the address is taken. */
  async listen(port: number, host: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.server.removeAllListeners('error');
    this.server.on('error', err => this.opts.onError(String(err)));
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private handleConnection(socket: Socket): void {
    const codec = new FrameCodec();
    let from: string | undefined;
    this.sockets.add(socket);
    this.writers.set(socket, new FrameWriter(socket));
    socket.setTimeout(HELLO_TIMEOUT_MS, () => socket.destroy());
    socket.on('close', () => {
      this.sockets.delete(socket);
      if (from !== undefined && this.socketsByNode.get(from) === socket) {
        this.socketsByNode.delete(from);
      }
    });
    // The close event follows and does the work.
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const frames = codec.push(chunk);
      if (frames.isErr) {
        this.opts.onError(`connection from "${from ?? ''}": ${frames.error}`);
        socket.destroy();
        return;
      }
      for (const frame of frames.value) {
        if (socket.destroyed) return;
        if (from !== undefined) this.handleFrame(socket, from, frame);
        else from = this.acceptHello(socket, frame);
      }
    });
  }

  /** The node that the first frame names; drops the connection of others. */
  private acceptHello(socket: Socket, frame: PeerFrame): string | undefined {
    if (frame.type !== 'hello' || !this.opts.isAllowed(frame.node)) {
      this.opts.onError('a connection names no known node');
      socket.destroy();
      return undefined;
    }
    socket.setTimeout(IDLE_TIMEOUT_MS);
    // The node has replaced its earlier connection.
    this.socketsByNode.get(frame.node)?.destroy();
    this.socketsByNode.set(frame.node, socket);
    this.opts.onHello?.(frame.node);
    return frame.node;
  }

  private handleFrame(socket: Socket, from: string, frame: PeerFrame): void {
    switch (frame.type) {
      case 'ping':
        this.write(socket, {type: 'pong'});
        return;
      case 'message':
        this.opts.onMessage(from, frame);
        return;
      case 'request':
        void this.handleRequest(socket, from, frame);
        return;
      default:
        return;
    }
  }

  private async handleRequest(
    socket: Socket,
    from: string,
    frame: RequestFrame,
  ): Promise<void> {
    const {id} = frame;
    try {
      const body = await this.opts.onRequest(from, frame);
      this.write(socket, {type: 'response', id, body});
    } catch (err) {
      const detail = String(err).slice(0, MAX_DETAIL_LENGTH);
      this.opts.onError(`request "${frame.method}" of ${from}: ${detail}`);
      this.write(socket, {type: 'failure', id, detail});
    }
  }

  private write(socket: Socket, frame: PeerFrame): void {
    if (socket.destroyed) return;
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      this.opts.onError('a node does not read its responses');
      socket.destroy();
      return;
    }
    this.writers.get(socket)?.write(frame);
  }
}
