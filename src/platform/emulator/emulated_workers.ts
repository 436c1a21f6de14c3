import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '../../core/clock/clock.js';
import type {EmulatedWorker} from './emulated_worker.js';

const ANY_IPV4_ADDRESS = '0.0.0.0';

type StartOrder = Parameters<EmulatedWorker['start']>[0];
type HoldOrder = Parameters<EmulatedWorker['hold']>[0];
type Order = StartOrder & HoldOrder & {readonly wait_ms?: number};

interface WorkerFault {
  readonly kind: 'unhealthy' | 'late';
  /** Delay after which an order is executed, without a reply, in ms. */
  readonly delayMs: () => number;
}

/**
 * HTTP API of many workers in one process: each loopback address on which a
 * request arrives is a worker of its own.
 */
export class EmulatedWorkers {
  private readonly server: Server;
  /** Workers by IP address. */
  private readonly workers = new Map<string, EmulatedWorker>();
  private readonly faults = new Map<string, WorkerFault>();

  constructor(private readonly clock: Clock) {
    this.server = createServer((req, res) => {
      const address = req.socket.localAddress ?? '';
      const worker = this.workers.get(address);
      // The worker has crashed.
      if (!worker) return void req.socket.destroy();
      readJson(req, order => this.handle(address, worker, req, res, order));
    });
    this.server.keepAliveTimeout = 120_000;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  async listen(): Promise<void> {
    this.server.listen(0, ANY_IPV4_ADDRESS);
    await once(this.server, 'listening');
  }

  get(address: string): EmulatedWorker | undefined {
    return this.workers.get(address);
  }

  add(address: string, worker: EmulatedWorker): void {
    this.workers.set(address, worker);
  }

  crash(address: string): void {
    this.workers.get(address)?.crash();
    this.workers.delete(address);
  }

  /** Sets the fault of a worker; undefined for none. */
  setFault(address: string, fault: WorkerFault | undefined): void {
    if (fault) this.faults.set(address, fault);
    else this.faults.delete(address);
  }

  close(): void {
    for (const worker of this.workers.values()) worker.crash();
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(
    address: string,
    worker: EmulatedWorker,
    {url, headers, socket}: IncomingMessage,
    res: ServerResponse,
    order: Order,
  ): void {
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== worker.opts.id) {
      return send(res, 421, worker.status());
    }
    const fault = this.faults.get(address);
    if (fault?.kind === 'unhealthy') return send(res, 503, {});
    if (fault?.kind === 'late') {
      this.clock.schedule(fault.delayMs(), () => {
        // A crash loses the orders that were not executed.
        if (this.workers.get(address) !== worker) return;
        execute(worker, url, order, true);
        socket.destroy();
      });
      return;
    }
    const reason = execute(worker, url, order, false);
    if (reason) send(res, 409, {...worker.status(), reason});
    else if (url === '/hold') this.replyToHold(worker, order, res);
    else send(res, 200, worker.status());
  }

  /** Replies at once if an end is listed, else at the next one. */
  private replyToHold(
    worker: EmulatedWorker,
    {wait_ms: waitMs = 0}: Order,
    res: ServerResponse,
  ): void {
    if (waitMs === 0 || worker.hasEnds) return send(res, 200, worker.status());
    const reply = () => {
      worker.onEnd.delete(reply);
      timer.cancel();
      send(res, 200, worker.status());
    };
    const timer = this.clock.schedule(waitMs, reply);
    worker.onEnd.add(reply);
  }
}

function execute(
  worker: EmulatedWorker,
  url: string | undefined,
  order: Order,
  isLate: boolean,
): string | undefined {
  if (url === '/run-start') return worker.start(order, isLate);
  if (url === '/run-stop') return worker.stop(order);
  return worker.hold(order);
}

function send(res: ServerResponse, status: number, body: object): void {
  if (res.destroyed || res.headersSent) return;
  res.statusCode = status;
  res.end(JSON.stringify(body));
}

function readJson(req: IncomingMessage, done: (order: Order) => void): void {
  let text = '';
  req.on('data', chunk => (text += String(chunk)));
  req.on('end', () => done(JSON.parse(text === '' ? '{}' : text) as Order));
}
