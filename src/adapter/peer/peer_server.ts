import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {FrameCodec} from './frame_codec.js';
import {FrameWriter} from './frame_writer.js';
import type {PeerFrame} from './peer_frame.js';

/**
 * A connection without data for this long is closed. By default the connecting
 * side pings at least once per second.
 */
const IDLE_TIMEOUT_MS = 5_000;
/** Timeout of the first frame, which identifies the node. */
const HELLO_TIMEOUT_MS = 2_000;
/**
 * Limit of buffered responses. It closes the connection of a node that reads
 * responses more slowly than it sends requests.
 */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;
const MAX_DETAIL_LENGTH = 4_096;

type MessageFrame = Extract<PeerFrame, {type: 'message'}>;
type RequestFrame = Extract<PeerFrame, {type: 'request'}>;

interface PeerServerOptions {
  /** Returns whether a node may connect. */
  readonly isAllowed: (node: string) => boolean;
  readonly maxConnections: number;
  /** Called when a node has identified itself on a new connection. */
  readonly onHello?: (node: string) => void;
  readonly onMessage: (from: string, frame: MessageFrame) => void;
  /** Rejects when the request cannot be handled. */
  readonly onRequest: (from: string, frame: RequestFrame) => Promise<unknown>;
  readonly onError: (detail: string) => void;
}

/** Accepts connections of other daemons, one per daemon. */
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

  /** Number of open connections. */
  get openConnections(): number {
    return this.sockets.size;
  }

  /** Starts listening; rejects if the address is in use. */
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
    // The close event, which always follows, handles the failure.
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

  /** Returns the node that the first frame names; undefined if refused. */
  private acceptHello(socket: Socket, frame: PeerFrame): string | undefined {
    if (frame.type !== 'hello' || !this.opts.isAllowed(frame.node)) {
      this.opts.onError(
        'connection refused: the first frame is not a hello of a known node',
      );
      socket.destroy();
      return undefined;
    }
    socket.setTimeout(IDLE_TIMEOUT_MS);
    // A new connection of a node replaces its earlier one.
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
      this.opts.onError(
        `request "${frame.method}" from ${from} failed: ${detail}`,
      );
      this.write(socket, {type: 'failure', id, detail});
    }
  }

  private write(socket: Socket, frame: PeerFrame): void {
    const writer = this.writers.get(socket);
    if (socket.destroyed || !writer) return;
    if (writer.unsentBytes > MAX_UNSENT_BYTES) {
      this.opts.onError(
        `connection closed: over ${MAX_UNSENT_BYTES} bytes of responses unsent`,
      );
      socket.destroy();
      return;
    }
    writer.write(frame);
  }
}
