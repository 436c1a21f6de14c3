import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';

/** Ports of the loopback interface that were free a moment ago. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({length: count}, open));
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(close));
  return ports;
}

function open(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
