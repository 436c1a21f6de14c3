import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import type {Server} from 'node:net';

/**
 * The range lies below the ephemeral ports. Another connection could otherwise
 * take the port of a daemon while the daemon is down.
 */
const MIN_PORT = 12_000;
const MAX_PORT = 32_000;

/** Finds ports that are currently free on the loopback interface. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = new Map<number, Server>();
  while (servers.size < count) {
    const port = randomInt(MIN_PORT, MAX_PORT);
    const server = await tryListen(port);
    if (server) servers.set(port, server);
  }
  await Promise.all([...servers.values()].map(close));
  return [...servers.keys()];
}

/** Listens on a port; resolves to undefined if the port is in use. */
function tryListen(port: number): Promise<Server | undefined> {
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
