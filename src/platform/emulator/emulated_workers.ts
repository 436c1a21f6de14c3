import {once} from 'node:events';
import {createServer} from 'node:http';
import type {IncomingMessage, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '../../core/clock/clock.js';

type EndedRun = [number, string, number, string, string];

interface Order {
  readonly task?: string;
  readonly run?: number;
  readonly acked_upto?: number;
  readonly wait_ms?: number;
}

interface WorkerState {
  readonly running: Map<string, number>;
  ended: EndedRun[];
  endCount: number;
  /** Replies to polls that wait for the next end. */
  waiting: Array<() => void>;
}

interface EmulatedWorkersOptions {
  readonly clock: Clock;
  /** Run time of each task, in ms. */
  readonly runMs: number;
}

/**
 * Emulates the HTTP API of many workers in one process: each loopback address on
 * which a request arrives is a worker of its own. Tasks end after a fixed time;
 * leases and capacity are not checked.
 */
export class EmulatedWorkers {
  private readonly server: Server;
  private readonly states = new Map<string, WorkerState>();
  private startCount = 0;

  constructor(private readonly opts: EmulatedWorkersOptions) {
    this.server = createServer((req, res) => {
      const state = this.stateOf(req.socket.localAddress ?? '');
      readJson(req, order => {
        const reply = () => res.end(JSON.stringify(this.statusOf(state)));
        if (req.url === '/run-start') this.start(state, order);
        if (req.url === '/hold') this.hold(state, order, reply);
        else reply();
      });
    });
    this.server.keepAliveTimeout = 120_000;
  }

  /** Number of tasks that were started. */
  get starts(): number {
    return this.startCount;
  }

  /** Listens on all addresses; returns the port, which is a free one. */
  async listen(): Promise<number> {
    this.server.listen();
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private start(state: WorkerState, {task = '', run = 0}: Order): void {
    this.startCount += 1;
    state.running.set(task, run);
    this.opts.clock.schedule(this.opts.runMs, () => {
      state.running.delete(task);
      state.endCount += 1;
      state.ended.push([state.endCount, task, run, 'done', '']);
      for (const reply of state.waiting.splice(0)) reply();
    });
  }

  private hold(state: WorkerState, order: Order, reply: () => void): void {
    const {acked_upto: acknowledged = 0, wait_ms: waitMs = 0} = order;
    state.ended = state.ended.filter(([number]) => number > acknowledged);
    if (waitMs === 0 || state.ended.length > 0) return void reply();
    let isReplied = false;
    const replyOnce = () => {
      if (isReplied) return;
      isReplied = true;
      timer.cancel();
      reply();
    };
    const timer = this.opts.clock.schedule(waitMs, replyOnce);
    state.waiting.push(replyOnce);
  }

  private statusOf({running, ended}: WorkerState) {
    return {
      clock_ms: Math.floor(this.opts.clock.now()),
      born: 1,
      running: [...running].map(([task, run]) => [task, run, '', 50]),
      finished: ended,
    };
  }

  private stateOf(address: string): WorkerState {
    let state = this.states.get(address);
    if (!state) {
      state = {running: new Map(), ended: [], endCount: 0, waiting: []};
      this.states.set(address, state);
    }
    return state;
  }
}

function readJson(req: IncomingMessage, done: (order: Order) => void): void {
  let text = '';
  req.on('data', chunk => (text += String(chunk)));
  req.on('end', () => done(JSON.parse(text === '' ? '{}' : text) as Order));
}
