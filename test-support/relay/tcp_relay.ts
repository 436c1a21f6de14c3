import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

const HOST = '127.0.0.1';

type Direction = 'to_target' | 'to_client' | 'both';

interface RelayOptions {
  /** Address to listen on. Default 127.0.0.1. */
  readonly host?: string;
  /** Port to listen on. By default, the system chooses a free one. */
  readonly port?: number;
  /** Address of the target. Default 127.0.0.1. */
  readonly targetHost?: string;
}

interface Connection {
  readonly client: Socket;
  readonly target: Socket;
  /** Whether bytes sent by the client are dropped. */
  dropsClientBytes: boolean;
  /** Whether bytes sent by the target are dropped. */
  dropsTargetBytes: boolean;
  /** Sockets whose last bytes are being delayed. */
  readonly delayed: Set<Socket>;
}

/**
 * TCP relay that simulates network failures: connections that stay open but no
 * longer transmit data while new ones work, cuts in one or both directions,
 * delays, resets, and a target that refuses connections.
 */
export class TcpRelay {
  private readonly connections = new Set<Connection>();
  private readonly server: Server;
  private cut: Direction | undefined;
  /** Delay of all bytes, in ms. */
  delayMs = 0;
  /** Number of connections opened so far. */
  openedCount = 0;

  private constructor(
    private targetPort: number,
    private readonly opts: RelayOptions,
  ) {
    this.server = createServer(client => this.copy(client));
  }

  static async listen(
    targetPort: number,
    opts: RelayOptions = {},
  ): Promise<TcpRelay> {
    const relay = new TcpRelay(targetPort, opts);
    await relay.accept();
    return relay;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Number of connections that are currently open. */
  get openCount(): number {
    return this.connections.size;
  }

  /** Drops all further bytes of the open connections, as after a link failure. */
  silence(direction: Direction): void {
    for (const connection of this.connections) {
      connection.dropsClientBytes ||= direction !== 'to_client';
      connection.dropsTargetBytes ||= direction !== 'to_target';
    }
  }

  /** Holds back all bytes, also of new connections, until `restore`. */
  hold(direction: Direction): void {
    this.cut = direction;
    this.updateAll();
  }

  /** Ends a cut: what was held back arrives, unless its sender has closed. */
  restore(): void {
    this.cut = undefined;
    this.updateAll();
  }

  /** Resets all open connections. */
  reset(): void {
    for (const {client, target} of this.connections) {
      client.resetAndDestroy();
      target.resetAndDestroy();
    }
  }

  /** Resets all connections and refuses new ones until `accept`. */
  refuse(): void {
    this.reset();
    this.server.close();
  }

  async accept(): Promise<void> {
    const {host = HOST, port = 0} = this.opts;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  async close(): Promise<void> {
    for (const {client, target} of this.connections) {
      client.destroy();
      target.destroy();
    }
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private copy(client: Socket): void {
    const {targetHost: host = HOST} = this.opts;
    const target = connect({host, port: this.targetPort, noDelay: true});
    client.setNoDelay(true);
    const connection: Connection = {
      client,
      target,
      dropsClientBytes: false,
      dropsTargetBytes: false,
      delayed: new Set(),
    };
    this.connections.add(connection);
    this.openedCount += 1;
    client.on('data', bytes => {
      if (connection.dropsClientBytes) return;
      this.forward(connection, client, target, bytes);
    });
    target.on('data', bytes => {
      if (connection.dropsTargetBytes) return;
      this.forward(connection, target, client, bytes);
    });
    client.on('error', () => undefined);
    target.on('error', () => undefined);
    client.on('close', () => {
      this.connections.delete(connection);
      if (!connection.dropsClientBytes) target.destroy();
    });
    target.on('close', () => {
      if (!connection.dropsTargetBytes) client.destroy();
    });
    this.update(connection);
  }

  private forward(
    connection: Connection,
    from: Socket,
    to: Socket,
    bytes: Buffer,
  ): void {
    if (this.delayMs === 0) {
      to.write(bytes);
      return;
    }
    // Reading stops meanwhile, which keeps the bytes in order.
    connection.delayed.add(from);
    this.update(connection);
    setTimeout(() => {
      to.write(bytes);
      connection.delayed.delete(from);
      this.update(connection);
    }, this.delayMs);
  }

  private updateAll(): void {
    for (const connection of this.connections) this.update(connection);
  }

  private update({client, target, delayed}: Connection): void {
    const {cut} = this;
    const holdsClient = cut === 'both' || cut === 'to_target';
    const holdsTarget = cut === 'both' || cut === 'to_client';
    if (holdsClient || delayed.has(client)) client.pause();
    else client.resume();
    if (holdsTarget || delayed.has(target)) target.pause();
    else target.resume();
  }
}
