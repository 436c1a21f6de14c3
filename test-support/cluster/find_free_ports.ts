import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import type {Server} from 'node:net';

/**
 * Below the ports that the system gives to outgoing connections and to servers
 * on port 0: those could take a port while its daemon is down.
 */
const MIN_PORT = 12_000;
const MAX_PORT = 32_000;

/** Ports of the loopback interface that were free a moment ago. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = new Map<number, Server>();
  while (servers.size < count) {
    const port = randomInt(MIN_PORT, MAX_PORT);
    const server = await open(port);
    if (server) servers.set(port, server);
  }
  await Promise.all([...servers.values()].map(close));
  return [...servers.keys()];
}

/** Undefined when the port is in use. */
function open(port: number): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'EADDRINUSE') resolve(undefined);
      else reject(err);
    });
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
