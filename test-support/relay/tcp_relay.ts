import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

const HOST = '127.0.0.1';

interface Connection {
  readonly client: Socket;
  readonly target: Socket;
  /** Whether bytes sent by the client are dropped. */
  dropsClientBytes: boolean;
  /** Whether bytes sent by the target are dropped. */
  dropsTargetBytes: boolean;
}

/**
 * TCP relay that simulates a silent network failure: its connections stay open
 * but no longer transmit data, while new connections work.
 */
export class TcpRelay {
  private readonly connections = new Set<Connection>();
  private readonly server: Server;
  /** Number of connections opened so far. */
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

  /** Number of connections that are currently open. */
  get openCount(): number {
    return this.connections.size;
  }

  /** Drops all further bytes of the open connections, as after a link failure. */
  silence(direction: 'to_target' | 'to_client' | 'both'): void {
    for (const connection of this.connections) {
      connection.dropsClientBytes ||= direction !== 'to_client';
      connection.dropsTargetBytes ||= direction !== 'to_target';
    }
  }

  async close(): Promise<void> {
    for (const {client, target} of this.connections) {
      client.destroy();
      target.destroy();
    }
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private copy(client: Socket): void {
    const target = connect({host: HOST, port: this.targetPort, noDelay: true});
    client.setNoDelay(true);
    const connection: Connection = {
      client,
      target,
      dropsClientBytes: false,
      dropsTargetBytes: false,
    };
    this.connections.add(connection);
    this.openedCount += 1;
    client.on('data', bytes => {
      if (!connection.dropsClientBytes) target.write(bytes);
    });
    target.on('data', bytes => {
      if (!connection.dropsTargetBytes) client.write(bytes);
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
  }
}
