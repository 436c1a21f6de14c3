import {Result} from 'true-myth';
import {PeerTransport} from '../../../src/core/peer/peer_transport.js';
import type {FakeClock} from '../fake_clock.js';

/** Records the messages of a node and delivers messages to it. */
export class RecordingPeers extends PeerTransport {
  readonly sent: Array<{node: string; kind: string; body: unknown}> = [];

  constructor(private readonly clock: FakeClock) {
    super();
  }

  override send(node: string, kind: string, body: unknown): void {
    this.sent.push({node, kind, body});
  }

  override request(): Promise<Result<unknown, never>> {
    return Promise.resolve(Result.ok(undefined));
  }

  deliver(from: string, kind: string, body: unknown): void {
    this.messageHandlers.get(kind)?.(from, body, this.clock.now());
  }
}
