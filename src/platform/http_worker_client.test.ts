import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {assert} from 'chai';
import {SteadyClock} from '../adapter/steady_clock.js';
import {waitUntil} from '../../test-support/cluster/wait_until.js';
import {HttpWorkerClient} from './http_worker_client.js';

/** Connections of the client to one worker. */
const CONNECTIONS = 6;
const ORDER = {token: 1, acknowledged: 0, waitMs: 0};
const START = {task: 't', run: 1, token: 1, payload: '', leaseEnd: 1_000};

/** One process instance of a worker. */
class Instance {
  readonly paths: string[] = [];
  /** Replies to polls that are held back until the test sends them. */
  readonly held: Array<() => void> = [];
  holdsPolls = false;
  /** Whether each connection is closed after its first reply. */
  closesConnections = false;
  private readonly sockets = new Set<Socket>();
  private readonly server = http.createServer((req, res) => {
    req.resume();
    req.on('end', () => {
      this.paths.push(req.url!);
      if (this.closesConnections) res.setHeader('connection', 'close');
      const reply = () =>
        res.end(
          JSON.stringify({
            clock_ms: 1,
            born: this.bornAt,
            running: [],
            finished: [],
          }),
        );
      if (this.holdsPolls && req.url === '/hold') this.held.push(reply);
      else reply();
    });
  });

  constructor(readonly bornAt: number) {
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async listen(port = 0): Promise<number> {
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  resetConnections(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  async stop(): Promise<void> {
    const closed = once(this.server, 'close');
    this.server.close();
    this.resetConnections();
    await closed;
  }

  count(path: string): number {
    return this.paths.filter(each => each === path).length;
  }
}

/** A client that has polled the first process instance of a worker. */
async function createWorker() {
  let skippedMs = 0;
  const clock = new (class extends SteadyClock {
    override elapsed(): number {
      return super.elapsed() + skippedMs;
    }
  })();
  const client = new HttpWorkerClient(clock);
  const first = new Instance(1);
  const port = await first.listen();
  const address = `127.0.0.1:${port}`;
  const target = {id: 'w', address, bornAt: first.bornAt};
  await client.poll({id: 'w', address}, ORDER, 1_000);
  const skip = (ms: number) => (skippedMs += ms);
  return {client, first, port, target, skip};
}

type Worker = Awaited<ReturnType<typeof createWorker>>;

/** Lets polls take all connections, so that other orders wait for one. */
async function occupyConnections({client, first, target}: Worker) {
  first.holdsPolls = true;
  for (let n = 0; n < CONNECTIONS; n += 1) {
    void client.poll(target, ORDER, 5_000);
  }
  const areHeld = () => first.held.length === CONNECTIONS;
  await waitUntil('all connections are in use', areHeld);
}

test('an order whose worker has restarted unnoticed is refused', async () => {
  const {client, first, port, target} = await createWorker();
  await first.stop();
  const second = new Instance(2);
  await second.listen(port);
  const order = {...ORDER, acknowledged: 57, leaseEnd: 1_000};
  const refused = {kind: 'refused', reason: 'other_life'} as const;
  assert.deepEqual(await client.start(target, START, 1_000), refused);
  assert.deepEqual(await client.stop(target, START, 1_000), refused);
  assert.deepEqual(await client.poll(target, order, 1_000), refused);
  assert.deepEqual([...new Set(second.paths)], ['/hold']);
  const next = {...target, bornAt: second.bornAt};
  assert.equal((await client.start(next, START, 1_000)).kind, 'ok');
  client.release(target.address);
  await second.stop();
});

// Guards against orders that wait in the client while the worker is down.
test('an order that waits for a connection does not reach the next process', async () => {
  const worker = await createWorker();
  const {client, first, port, target} = worker;
  await occupyConnections(worker);
  const start = client.start(target, START, 2_000);
  await first.stop();
  const second = new Instance(2);
  await second.listen(port);
  assert.notEqual((await start).kind, 'ok');
  assert.equal(second.count('/run-start'), 0);
  client.release(target.address);
  await second.stop();
});

// The steady clock of a suspended machine stands still, and so do its timers.
test('an order that waits for a connection is not sent after its timeout', async () => {
  const worker = await createWorker();
  const {client, first, target, skip} = worker;
  await occupyConnections(worker);
  const start = client.start(target, START, 2_000);
  skip(2_000);
  for (const reply of first.held.splice(0)) reply();
  assert.equal((await start).kind, 'lost');
  assert.equal(first.count('/run-start'), 0);
  client.release(target.address);
  await first.stop();
});

test('a lost connection costs one request more, and only then', async () => {
  const {client, first, target} = await createWorker();
  const polls = first.count('/hold');
  for (let n = 0; n < 3; n += 1) await client.start(target, START, 1_000);
  assert.equal(first.count('/hold'), polls);
  first.resetConnections();
  const isStarted = async () =>
    (await client.start(target, START, 1_000)).kind === 'ok';
  // The first one may be written to a connection that is being closed.
  await waitUntil('a start is answered', isStarted);
  for (let n = 0; n < 3; n += 1) assert.isTrue(await isStarted());
  assert.equal(first.count('/hold'), polls + 1);
  client.release(target.address);
  await first.stop();
});

test('a worker that states no start time gets its orders', async () => {
  const {client, port, first} = await createWorker();
  await first.stop();
  const silent = new Instance(undefined as unknown as number);
  await silent.listen(port);
  const target = {id: 'w', address: `127.0.0.1:${port}`, bornAt: 7};
  assert.equal((await client.start(target, START, 1_000)).kind, 'ok');
  client.release(target.address);
  await silent.stop();
});

test('a worker that closes each connection gets its orders', async () => {
  const {client, first, target} = await createWorker();
  first.closesConnections = true;
  for (let n = 0; n < 3; n += 1) {
    assert.equal((await client.start(target, START, 1_000)).kind, 'ok');
  }
  client.release(target.address);
  await first.stop();
});
