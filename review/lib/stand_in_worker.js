import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {sendRequest} from './send_request.js';
import {sleep} from './sleep.js';

const HEARTBEAT_MS = 1_500;
const HEARTBEAT_TIMEOUT_MS = 1_000;
const RETRY_MS = 200;
const MAX_HOLD_MS = 1_000;
const STOP_MS = 30;
const MAX_LISTED_ENDS = 500;

/**
 * One worker, as the page on running tasks describes it: leases on its own steady
 * clock, fencing tokens, run numbers, ends that are listed until acknowledged.
 * The `spec` of a job is JSON; `ms` is how long each of its tasks works, and
 * `cpu` what a task takes.
 */
export class StandInWorker {
  /**
   * `onStart` is called with each run that starts, `onEnd` with each that ends.
   * `control` are the addresses of the nodes that take heartbeats.
   */
  constructor(options) {
    this.opts = {guards: true, ...options};
    this.isClosed = false;
    this.server = undefined;
    this.beats = 0;
  }

  get address() {
    const {host, port} = this.opts;
    return `${host}:${port}`;
  }

  /** Starts a life of the worker; `life` has its id, labels and capacity. */
  async boot(life) {
    this.life = life;
    this.bornAt = Date.now();
    this.bootedAt = performance.now();
    this.state = 'ready';
    this.token = 0;
    this.leaseEnd = 0;
    this.active = new Map();
    this.ends = [];
    this.endCount = 0;
    this.highestRuns = new Map();
    this.waiting = new Set();
    this.seq = 0;
    this.server = createServer((req, res) => this.handle(req, res));
    this.server.keepAliveTimeout = 120_000;
    const {host, port} = this.opts;
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.beats += 1;
    void this.sendHeartbeats(this.beats);
  }

  /** Ends the process: all that runs ends, and connections are refused. */
  async crash() {
    this.beats += 1;
    for (const run of [...this.active.values()]) this.end(run, 'crashed');
    const {server} = this;
    this.server = undefined;
    if (!server) return;
    const closed = new Promise(resolve => server.close(resolve));
    server.closeAllConnections();
    await closed;
  }

  /** Time of the worker's clock, in ms. */
  get clockMs() {
    return Math.floor(performance.now() - this.bootedAt);
  }

  handle(req, res) {
    let text = '';
    req.on('data', chunk => (text += chunk));
    req.on('end', () => {
      const order = JSON.parse(text || '{}');
      const expected = req.headers['x-expect-instance'];
      if (expected !== undefined && expected !== this.life.id) {
        return this.reply(res, 421, {});
      }
      if ((order.fencing_token ?? 0) < this.token) {
        return this.reply(res, 409, {reason: 'fence'});
      }
      this.token = order.fencing_token ?? 0;
      if (req.url === '/hold') return this.hold(order, res);
      const reason =
        req.url === '/run-start' ? this.start(order) : this.stop(order);
      this.reply(res, reason ? 409 : 200, reason ? {reason} : {});
    });
  }

  reply(res, status, body) {
    if (res.writableEnded || res.destroyed) return;
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify({clock_ms: this.clockMs, born: this.bornAt, ...body}));
  }

  start(order) {
    const {task, run, deadline_ms: deadlineMs} = order;
    if (deadlineMs <= this.clockMs) return 'late';
    this.extend(deadlineMs);
    if (this.active.get(task)?.run === run) return undefined;
    if (run <= (this.highestRuns.get(task) ?? 0)) return 'old';
    const spec = JSON.parse(order.spec);
    if (this.opts.guards && this.usedCpu + spec.cpu > this.life.cpu) {
      return 'room';
    }
    const started = {task, run, spec, worker: this, startedAt: Date.now()};
    this.active.set(task, started);
    started.timer = globalThis.setTimeout(
      () => this.end(started, 'done'),
      spec.ms,
    );
    this.opts.onStart?.(started);
    return undefined;
  }

  get usedCpu() {
    return [...this.active.values()].reduce((sum, r) => sum + r.spec.cpu, 0);
  }

  stop({task, run}) {
    this.raise(task, run);
    const found = this.active.get(task);
    if (found?.run !== run) return undefined;
    globalThis.setTimeout(() => this.end(found, 'stopped'), STOP_MS);
    return undefined;
  }

  hold({deadline_ms: deadlineMs, acked_upto: acked, wait_ms: waitMs}, res) {
    if (deadlineMs !== undefined) this.extend(deadlineMs);
    this.ends = this.ends.filter(([number]) => number > acked);
    const answer = () => {
      globalThis.clearTimeout(timer);
      this.waiting.delete(answer);
      this.reply(res, 200, {
        running: [...this.active.values()].map(r => [r.task, r.run, '', 50]),
        finished: this.ends.slice(0, MAX_LISTED_ENDS),
      });
    };
    let timer;
    if (!waitMs || this.ends.length > 0) return answer();
    timer = globalThis.setTimeout(answer, waitMs);
    this.waiting.add(answer);
  }

  extend(deadlineMs) {
    const end = Math.min(deadlineMs, this.clockMs + MAX_HOLD_MS);
    if (end <= this.leaseEnd) return;
    this.leaseEnd = end;
    globalThis.clearTimeout(this.lapse);
    this.lapse = globalThis.setTimeout(() => {
      for (const run of [...this.active.values()]) this.end(run, 'lapsed');
    }, end - this.clockMs);
  }

  end(run, how) {
    if (this.active.get(run.task) !== run) return;
    globalThis.clearTimeout(run.timer);
    this.active.delete(run.task);
    this.raise(run.task, run.run);
    this.endCount += 1;
    this.ends.push([this.endCount, run.task, run.run, how, '']);
    this.opts.onEnd?.(run, how);
    for (const answer of [...this.waiting]) answer();
  }

  raise(task, run) {
    const highest = this.highestRuns.get(task) ?? 0;
    this.highestRuns.set(task, Math.max(highest, run));
  }

  /** Sends the heartbeats of one life. */
  async sendHeartbeats(life) {
    const {control, service, zone, firstHeartbeatMs = 0} = this.opts;
    if (life > 1) await sleep(firstHeartbeatMs);
    let target = control[0];
    for (let n = 1; this.beats === life; n += 1) {
      this.seq += 1;
      const url = `http://${target}/Instances.Heartbeat/${this.life.id}`;
      const res = await sendRequest(url, {
        method: 'POST',
        timeoutMs: HEARTBEAT_TIMEOUT_MS,
        json: {
          backend: service,
          address: this.address,
          zone,
          version: 'v1',
          slots: 8,
          state: this.state,
          cold_remaining_ms: 0,
          capacity: {cpu: this.life.cpu, mem_mb: 131_072, gpu: 0},
          labels: this.life.labels,
          clock_ms: this.clockMs,
          seq: this.seq,
          born: this.bornAt,
        },
      });
      if (res.status === 200) target = res.body?.heartbeat_url ?? target;
      else target = control[n % control.length];
      await sleep(res.status === 200 ? HEARTBEAT_MS : RETRY_MS);
    }
  }
}
