import type {Socket} from 'node:net';
import {FrameCodec} from './frame_codec.js';
import type {PeerFrame} from './peer_frame.js';

/** Writes all frames of one turn of the event loop with one system call. */
export class FrameWriter {
  private pending: Buffer[] = [];
  private pendingBytes = 0;

  constructor(private readonly socket: Socket) {}

  /** Bytes that the kernel has not taken yet. */
  get unsentBytes(): number {
    return this.pendingBytes + this.socket.writableLength;
  }

  write(frame: PeerFrame): void {
    if (this.pending.length === 0) setImmediate(() => this.flush());
    const bytes = FrameCodec.encode(frame);
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
  }

  private flush(): void {
    const {pending, socket} = this;
    this.pending = [];
    this.pendingBytes = 0;
    if (socket.destroyed) return;
    // One buffer: the stream handles a list of buffers at a higher cost.
    socket.write(pending.length === 1 ? pending[0]! : Buffer.concat(pending));
  }
}
