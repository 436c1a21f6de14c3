import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

const HOST = '127.0.0.1';

interface Pair {
  readonly client: Socket;
  readonly target: Socket;
  /** True: bytes of the client are dropped. */
  isDeaf: boolean;
  /** True: bytes of the target are dropped. */
  isMute: boolean;
}

/**
 * Copies bytes between connections, and can go silent: open connections stay
 * open without a byte while new ones work.
 */
export class TcpRelay {
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;
  /** Connections opened through the relay so far. */
  openedCount = 0;

  private constructor(private targetPort: number) {
    this.server = createServer(client => this.copy(client));
  }

  static async listen(targetPort: number): Promise<TcpRelay> {
    const relay = new TcpRelay(targetPort);
    await new Promise<void>(resolve => relay.server.listen(0, HOST, resolve));
    return relay;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Connections that are open now. */
  get openCount(): number {
    return this.pairs.size;
  }

  /** Open connections go silent for good, in one direction or in both. */
  silence(direction: 'to_target' | 'to_client' | 'both'): void {
    for (const pair of this.pairs) {
      pair.isDeaf ||= direction !== 'to_client';
      pair.isMute ||= direction !== 'to_target';
    }
  }

  async close(): Promise<void> {
    for (const {client, target} of this.pairs) {
      client.destroy();
      target.destroy();
    }
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private copy(client: Socket): void {
    const target = connect({host: HOST, port: this.targetPort, noDelay: true});
    client.setNoDelay(true);
    const pair: Pair = {client, target, isDeaf: false, isMute: false};
    this.pairs.add(pair);
    this.openedCount += 1;
    client.on('data', bytes => {
      if (!pair.isDeaf) target.write(bytes);
    });
    target.on('data', bytes => {
      if (!pair.isMute) client.write(bytes);
    });
    client.on('error', () => undefined);
    target.on('error', () => undefined);
    client.on('close', () => {
      this.pairs.delete(pair);
      if (!pair.isDeaf) target.destroy();
    });
    target.on('close', () => {
      if (!pair.isMute) client.destroy();
    });
  }
}
