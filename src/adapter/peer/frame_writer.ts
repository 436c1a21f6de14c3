import type {Socket} from 'node:net';
import {FrameCodec} from './frame_codec.js';
import type {PeerFrame} from './peer_frame.js';

/** Writes all frames of one turn of the event loop with one system call. */
export class FrameWriter {
  private isCorked = false;

  constructor(private readonly socket: Socket) {}

  write(frame: PeerFrame): void {
    if (!this.isCorked) {
      this.isCorked = true;
      this.socket.cork();
      setImmediate(() => {
        this.isCorked = false;
        this.socket.uncork();
      });
    }
    this.socket.write(FrameCodec.encode(frame));
  }
}
