import {TcpRelay} from '../../../test-support/relay/tcp_relay.js';

interface Node {
  readonly address: string;
  /** Port that the node listens on, and by which it reaches the others. */
  readonly port: number;
}

/**
 * Relays between processes. Each process is told a port of its own for the
 * messages between nodes and takes it for the port of all nodes, so that a relay
 * for each pair of them can listen on the address of the target.
 */
export class EmulatedLinks {
  private readonly relays = new Map<string, TcpRelay>();

  async add(from: Node, to: Node): Promise<void> {
    const relay = await TcpRelay.listen(to.port, {
      host: to.address,
      port: from.port,
      targetHost: to.address,
    });
    this.relays.set(`${from.address} ${to.address}`, relay);
  }

  /** Relay of the connections that one process opens to another. */
  get(from: string, to: string): TcpRelay {
    const relay = this.relays.get(`${from} ${to}`);
    if (!relay) throw new Error(`no relay from ${from} to ${to}`);
    return relay;
  }

  async close(): Promise<void> {
    await Promise.all([...this.relays.values()].map(relay => relay.close()));
  }
}
