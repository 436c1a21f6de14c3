/**
 * Stand-in for one machine that runs tasks, as PROTOCOL.md describes it: leases
 * on its own steady clock, fencing tokens, run numbers, lists of runs and ends.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

const MAX_HOLD_MS = 1_000;
const STOP_MS = 20;
const HEARTBEAT_MS = 1_500;
const MAX_LISTED = 500;

export class StandinWorker {
  /**
   * `opts`: id, host, zone, service, cpu, memMb, labels, guards (whether it
   * refuses what does not fit), control (addresses of the control API), events.
   */
  constructor(opts) {
    this.opts = opts;
    this.cpu = opts.cpu;
    this.labels = opts.labels;
    this.state = 'ready';
    this.beats = [];
    this.life = undefined;
    this.port = 0;
    this.target = undefined;
  }

  get isUp() {
    return this.life !== undefined;
  }

  get address() {
    return `${this.opts.host}:${this.port}`;
  }

  /** Starts a new life, at the same address after the first one. */
  async start() {
    const life = {
      born: Date.now(),
      bootedAt: performance.now(),
      token: 0,
      leaseEnd: 0,
      active: new Map(),
      ended: [],
      endCount: 0,
      highest: new Map(),
      waiting: new Set(),
      sockets: new Set(),
      timers: new Set(),
      seq: 0,
      server: undefined,
    };
    life.server = http.createServer((req, res) =>
      this.onRequest(life, req, res),
    );
    life.server.keepAliveTimeout = 120_000;
    life.server.on('connection', socket => {
      life.sockets.add(socket);
      socket.on('close', () => life.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise((resolve, reject) => {
      life.server.once('error', reject);
      life.server.listen(this.port, this.opts.host, resolve);
    });
    this.port = life.server.address().port;
    this.life = life;
    this.opts.events.add('worker_up', {worker: this.opts.id, born: life.born});
    void this.beatLoop(life);
  }

  /** Reports that it drains, until a node acknowledges it; resolves to the time. */
  async drain() {
    const {life} = this;
    const {control, id, events} = this.opts;
    this.state = 'draining';
    for (let n = 0; this.life === life; n += 1) {
      const to = control[n % control.length];
      const path = `/Instances.Heartbeat/${id}`;
      const reply = await post(to, path, this.heartbeat(life), 1_000);
      events.add('draining_reported', {worker: id, to, status: reply.status});
      if (reply.status === 200) return performance.now();
      await this.sleep(life, 100);
    }
    return undefined;
  }

  /** Says that it leaves, to one node after the other until one answers, and ends. */
  async leave(nodes) {
    const {life} = this;
    const {id, events} = this.opts;
    for (const to of nodes) {
      const path = `/Instances.Leave/${id}`;
      const reply = await post(to, path, undefined, 1_000);
      events.add('left', {
        worker: id,
        to,
        status: reply.status,
        error: reply.error,
      });
      if (reply.status === 200) break;
    }
    if (this.life === life) this.crash();
    this.state = 'ready';
  }

  /** The process dies: its runs end with it, and nothing is said. */
  crash() {
    const {life} = this;
    if (!life) return;
    this.life = undefined;
    for (const run of life.active.values()) this.finish(life, run, 'crashed');
    for (const timer of life.timers) clearTimeout(timer);
    life.server.close();
    for (const socket of life.sockets) socket.destroy();
    this.opts.events.add('worker_down', {worker: this.opts.id});
  }

  /** Capacity in use by what runs, in thousandths of a core. */
  get usedCpu() {
    let sum = 0;
    for (const run of this.life?.active.values() ?? []) sum += run.cpu;
    return sum;
  }

  clockMs(life) {
    return performance.now() - life.bootedAt;
  }

  heartbeat(life) {
    life.seq += 1;
    const {service, zone, memMb} = this.opts;
    return {
      backend: service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: {cpu: this.cpu, mem_mb: memMb, gpu: 0},
      labels: this.labels,
      clock_ms: Math.floor(this.clockMs(life)),
      seq: life.seq,
      born: life.born,
    };
  }

  async beatLoop(life) {
    const {control, id} = this.opts;
    let n = Math.floor(Math.random() * control.length);
    let target;
    while (this.life === life) {
      const to = target ?? control[n % control.length];
      n += 1;
      const path = `/Instances.Heartbeat/${id}`;
      const reply = await post(to, path, this.heartbeat(life), 1_000);
      if (this.life !== life) return;
      const isAcked = reply.status >= 200 && reply.status < 300;
      target = isAcked ? (reply.body?.heartbeat_url ?? to) : undefined;
      await this.sleep(life, isAcked ? HEARTBEAT_MS : 100);
    }
  }

  sleep(life, ms) {
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        life.timers.delete(timer);
        resolve();
      }, ms);
      life.timers.add(timer);
    });
  }

  onRequest(life, req, res) {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      if (this.life !== life) return;
      const expected = req.headers['x-expect-instance'];
      if (req.method === 'GET') return send(res, 200, {});
      if (expected !== undefined && expected !== this.opts.id) {
        return send(res, 421, {clock_ms: Math.floor(this.clockMs(life))});
      }
      let order;
      try {
        order = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
      } catch {
        return send(res, 400, {});
      }
      this.execute(life, req.url, order, res);
    });
  }

  execute(life, url, order, res) {
    const clock_ms = Math.floor(this.clockMs(life));
    const token = order.fencing_token ?? 0;
    if (token < life.token) return send(res, 409, {clock_ms, reason: 'fence'});
    life.token = token;
    if (url === '/run-start') {
      const reason = this.startRun(life, order);
      if (reason) send(res, 409, {clock_ms, reason});
      else send(res, 200, {clock_ms});
    } else if (url === '/run-stop') {
      this.stopRun(life, order);
      send(res, 200, {clock_ms});
    } else if (url === '/hold') this.hold(life, order, res);
    else send(res, 400, {clock_ms});
  }

  startRun(life, order) {
    const {task, run, deadline_ms: deadline, spec} = order;
    if (deadline <= this.clockMs(life)) return 'late';
    this.extend(life, deadline);
    if (life.active.get(task)?.run === run) return undefined;
    if (run <= (life.highest.get(task) ?? 0)) return 'old';
    const {cpu, ms} = JSON.parse(spec)[Number(task.split('.')[2])];
    if (this.opts.guards && this.usedCpu + cpu > this.cpu) return 'room';
    const started = {
      ...{task, run, cpu, spec},
      token: order.fencing_token ?? 0,
      worker: this.opts.id,
      born: life.born,
      startedAt: performance.now(),
      endedAt: undefined,
      how: undefined,
      usedAfter: this.usedCpu + cpu,
      capacity: this.cpu,
    };
    life.active.set(task, started);
    started.timer = setTimeout(() => this.end(life, started, 'done'), ms);
    life.timers.add(started.timer);
    this.opts.events.addRun(started);
    return undefined;
  }

  stopRun(life, {task, run}) {
    life.highest.set(task, Math.max(run, life.highest.get(task) ?? 0));
    const active = life.active.get(task);
    if (active?.run !== run) return;
    const timer = setTimeout(() => this.end(life, active, 'stopped'), STOP_MS);
    life.timers.add(timer);
  }

  hold(life, {acked_upto: acked = 0, deadline_ms: deadline, wait_ms = 0}, res) {
    if (deadline !== undefined) this.extend(life, deadline);
    life.ended = life.ended.filter(([number]) => number > acked);
    if (wait_ms === 0 || life.ended.length > 0) return this.list(life, res);
    const reply = () => {
      life.waiting.delete(reply);
      clearTimeout(timer);
      this.list(life, res);
    };
    const timer = setTimeout(reply, Math.min(2_000, wait_ms));
    life.timers.add(timer);
    life.waiting.add(reply);
  }

  list(life, res) {
    send(res, 200, {
      clock_ms: Math.floor(this.clockMs(life)),
      born: life.born,
      running: [...life.active.values()].map(r => [r.task, r.run, '', 50, 0]),
      finished: life.ended.slice(0, MAX_LISTED),
    });
  }

  /** A lease never shortens, and lasts for MAX_HOLD_MS at most. */
  extend(life, deadline) {
    const longest = this.clockMs(life) + MAX_HOLD_MS;
    const end = Math.min(deadline, longest);
    if (end <= life.leaseEnd) return;
    life.leaseEnd = end;
    clearTimeout(life.leaseTimer);
    life.leaseTimer = setTimeout(
      () => this.onLeaseTimer(life),
      Math.max(0, end - this.clockMs(life)),
    );
    life.timers.add(life.leaseTimer);
  }

  onLeaseTimer(life) {
    if (this.clockMs(life) < life.leaseEnd) {
      const left = life.leaseEnd - this.clockMs(life);
      life.leaseTimer = setTimeout(() => this.onLeaseTimer(life), left);
      life.timers.add(life.leaseTimer);
      return;
    }
    for (const run of [...life.active.values()]) this.end(life, run, 'lapsed');
  }

  end(life, run, how) {
    if (life.active.get(run.task) !== run) return;
    this.finish(life, run, how);
    life.endCount += 1;
    life.ended.push([life.endCount, run.task, run.run, how, '']);
    for (const reply of [...life.waiting]) reply();
  }

  finish(life, run, how) {
    life.active.delete(run.task);
    clearTimeout(run.timer);
    life.highest.set(
      run.task,
      Math.max(run.run, life.highest.get(run.task) ?? 0),
    );
    run.endedAt = performance.now();
    run.how = how;
    this.opts.events.endRun(run);
  }
}

function send(res, status, body) {
  if (res.destroyed || res.headersSent) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** Sends a POST; resolves to the status and the body, or to an error. */
export function post(address, path, body, timeoutMs, headers = {}) {
  return call('POST', address, path, body, timeoutMs, headers);
}

export function call(method, address, path, body, timeoutMs, headers = {}) {
  const at = address.lastIndexOf(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise(resolve => {
    const req = http.request(
      {
        method,
        path,
        host: address.slice(0, at),
        port: Number(address.slice(at + 1)),
        agent: false,
        headers: {
          ...(text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(text),
              }),
          ...headers,
        },
      },
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('error', err => resolve({error: String(err)}));
        res.on('end', () => {
          const raw = Buffer.concat(chunks).toString('utf8');
          let parsed;
          try {
            parsed = JSON.parse(raw);
          } catch {
            parsed = undefined;
          }
          resolve({status: res.statusCode, body: parsed, raw});
        });
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy(new Error('timeout')));
    const timer = setTimeout(
      () => req.destroy(new Error('timeout')),
      timeoutMs,
    );
    req.on('error', err => resolve({error: String(err.message ?? err)}));
    req.on('close', () => clearTimeout(timer));
    req.end(text);
  });
}
