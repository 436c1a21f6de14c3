import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {Result} from 'true-myth';
import type {Cancellable} from '../../core/clock/cancellable.js';
import type {Clock} from '../../core/clock/clock.js';
import type {PeerError} from '../../core/peer/peer_error.js';
import {FrameCodec} from './frame_codec.js';
import {FrameWriter} from './frame_writer.js';
import {LinkTiming} from './link_timing.js';
import type {PeerAddress} from './peer_address.js';
import type {PeerFrame} from './peer_frame.js';

/**
 * Number of unanswered pings after which a connection is replaced. While a
 * request is pending, this takes 1 s from the first ping, which leaves time to
 * reconnect and retry within the takeover target of 2 s. Pings are counted
 * instead of time, so that a stalled event loop of this process does not drop
 * healthy connections.
 */
const MAX_UNANSWERED_PINGS = 2;
const RECONNECT_MS = 200;
/** Limit of buffered bytes for a slow node; further frames are not sent. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;
/** Limit of pending requests to one node. */
const MAX_PENDING_REQUESTS = 65_536;

interface PendingRequest {
  readonly resolve: (result: Result<unknown, PeerError>) => void;
  readonly timer: Cancellable;
}

/**
 * Outgoing connection to one daemon. Heartbeats detect a connection that is
 * unresponsive without being closed. It is then replaced, and its pending
 * requests fail as `lost`.
 */
export class PeerLink {
  private socket: Socket | undefined;
  private writer: FrameWriter | undefined;
  private isReady = false;
  private isClosed = false;
  private unansweredPings = 0;
  private pingedAt = 0;
  private hasSentSincePing = false;
  /** Whether the ping that followed a message at once awaits its answer. */
  private hasEarlyPing = false;
  /** Whether the heartbeat waits for the longer interval of a quiet link. */
  private isQuiet = false;
  private nextId = 1;
  private readonly pending = new Map<number, PendingRequest>();
  private heartbeat: Cancellable | undefined;
  private reconnect: Cancellable | undefined;

  constructor(
    private readonly node: string,
    private readonly address: PeerAddress,
    private readonly clock: Clock,
    private readonly timing: LinkTiming = LinkTiming,
  ) {
    this.openSocket();
  }

  get isConnected(): boolean {
    return this.isReady;
  }

  send(frame: PeerFrame): boolean {
    const {socket, writer} = this;
    if (!socket || !writer || !this.isReady) return false;
    if (writer.unsentBytes > MAX_UNSENT_BYTES) return false;
    this.hasSentSincePing ||= frame.type !== 'ping';
    writer.write(frame);
    if (this.isQuiet && this.hasSentSincePing) {
      this.pingEarly();
      this.restartHeartbeat();
    }
    return true;
  }

  request(
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    if (this.pending.size >= MAX_PENDING_REQUESTS) {
      return Promise.resolve(fail('unsent', 'too many pending requests'));
    }
    const id = this.nextId;
    this.nextId += 1;
    if (!this.send({type: 'request', id, method, body})) {
      return Promise.resolve(fail('unsent', 'no connection'));
    }
    return new Promise(resolve => {
      const timer = this.clock.schedule(timeoutMs, () =>
        this.complete(id, fail('lost', `no response in ${timeoutMs} ms`)),
      );
      this.pending.set(id, {resolve, timer});
      if (this.pending.size === 1) this.restartHeartbeat();
    });
  }

  close(): void {
    this.isClosed = true;
    this.reconnect?.cancel();
    this.disconnect('closed');
  }

  private openSocket(): void {
    const {host, port} = this.address;
    const socket = connect({host, port, noDelay: true});
    const codec = new FrameCodec();
    this.socket = socket;
    this.writer = new FrameWriter(socket);
    this.unansweredPings = 0;
    this.hasEarlyPing = false;
    this.scheduleHeartbeat(socket);
    socket.on('connect', () => {
      this.isReady = true;
      this.send({type: 'hello', node: this.node});
    });
    socket.on('data', chunk => {
      this.recordAnswer();
      const frames = codec.push(chunk);
      if (frames.isErr) {
        socket.destroy();
        return;
      }
      for (const frame of frames.value) {
        if (frame.type === 'response') {
          this.complete(frame.id, Result.ok(frame.body));
        } else if (frame.type === 'failure') {
          this.complete(frame.id, fail('failed', frame.detail));
        }
      }
    });
    // The close event, which always follows, handles the failure.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (this.socket === socket) this.disconnect('the connection closed');
    });
  }

  private scheduleHeartbeat(socket: Socket): void {
    const {busyMs, idleMs} = this.timing;
    const quietMs = this.remainingQuietMs();
    this.isQuiet = quietMs > idleMs;
    const delayMs = this.pending.size > 0 ? busyMs : Math.max(idleMs, quietMs);
    this.heartbeat = this.clock.schedule(delayMs, () => {
      this.isQuiet = false;
      if (this.socket !== socket) return;
      if (this.unansweredPings >= MAX_UNANSWERED_PINGS) {
        // A reset discards unsent data, which must not be delivered when the
        // network path recovers.
        socket.resetAndDestroy();
        this.disconnect(`no reply to ${MAX_UNANSWERED_PINGS} pings`);
        return;
      }
      if (this.remainingQuietMs() === 0) this.ping();
      this.scheduleHeartbeat(socket);
    });
  }

  /**
   * Time until the next ping of a link without traffic since an answered ping,
   * which needs few further ones; 0 for any other link.
   */
  private remainingQuietMs(): number {
    const {quietMs = 0} = this.timing;
    const hasTraffic =
      this.unansweredPings > 0 ||
      this.hasEarlyPing ||
      this.hasSentSincePing ||
      this.pending.size > 0;
    if (hasTraffic) return 0;
    return Math.max(0, this.pingedAt + quietMs - this.clock.now());
  }

  private recordAnswer(): void {
    const wasUnanswered = this.unansweredPings > 0 || this.hasEarlyPing;
    this.unansweredPings = 0;
    this.hasEarlyPing = false;
    if (wasUnanswered && this.remainingQuietMs() > this.timing.idleMs) {
      this.restartHeartbeat();
    }
  }

  /**
   * Sends a ping with the first message after a quiet time: both wake this process
   * and the other one once. It does not count as unanswered, since the other process
   * has as long to answer as after a message that is pinged later.
   */
  private pingEarly(): void {
    if (this.clock.now() - this.pingedAt < this.timing.idleMs) return;
    this.hasEarlyPing = true;
    this.pingedAt = this.clock.now();
    this.hasSentSincePing = false;
    this.writer?.write({type: 'ping'});
  }

  private ping(): void {
    this.unansweredPings += 1;
    this.hasEarlyPing = false;
    this.pingedAt = this.clock.now();
    this.hasSentSincePing = false;
    this.send({type: 'ping'});
  }

  /** Applies another interval at once when the traffic of a link has changed. */
  private restartHeartbeat(): void {
    if (!this.socket) return;
    this.heartbeat?.cancel();
    this.scheduleHeartbeat(this.socket);
  }

  private disconnect(detail: string): void {
    const {socket} = this;
    this.socket = undefined;
    this.isReady = false;
    this.heartbeat?.cancel();
    socket?.destroy();
    for (const id of [...this.pending.keys()]) {
      this.complete(id, fail('lost', detail));
    }
    if (this.isClosed) return;
    this.reconnect = this.clock.schedule(RECONNECT_MS, () => this.openSocket());
  }

  private complete(id: number, result: Result<unknown, PeerError>): void {
    const request = this.pending.get(id);
    if (!request) return;
    this.pending.delete(id);
    request.timer.cancel();
    request.resolve(result);
  }
}

function fail(
  kind: PeerError['kind'],
  detail: string,
): Result<never, PeerError> {
  return Result.err({kind, detail});
}
