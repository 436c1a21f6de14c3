import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {assert} from 'chai';
import {request} from 'undici';
import {findFreePorts} from '../../test-support/cluster/find_free_ports.js';
import {waitUntil} from '../../test-support/cluster/wait_until.js';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));
/**
 * Loopback network of this test run. Ports are the same on all nodes, so each
 * node and each concurrent test run needs an address of its own.
 */
const NET = `127.${1 + (process.pid % 250)}.${(process.pid >> 8) % 250}`;
const JOB = '5c0e7a21d94b36f8';
const RUN_MS = 30;

/** Fake worker that completes each run after `RUN_MS`. */
function createWorker(): Server {
  const ends: Array<[number, string, number, string, string]> = [];
  let running: Array<[string, number, string, number]> = [];
  return createServer((req, res) => {
    let text = '';
    req.on('data', chunk => (text += String(chunk)));
    req.on('end', () => {
      const body = JSON.parse(text) as {task: string; run: number};
      if (req.url === '/run-start') {
        running.push([body.task, body.run, '', 100]);
        setTimeout(() => {
          running = running.filter(([task]) => task !== body.task);
          ends.push([ends.length + 1, body.task, body.run, 'done', '']);
        }, RUN_MS);
      }
      const reply = () => {
        const lists = {running, finished: ends};
        res.end(JSON.stringify({clock_ms: Date.now(), born: 1, ...lists}));
      };
      if (req.url === '/hold') setTimeout(reply, RUN_MS);
      else reply();
    });
  });
}

function formatSettings(
  ip: string,
  ports: readonly number[],
  dir: string,
): string {
  const [callers, ready, control, peer] = ports;
  return [
    `node_name=${ip}`,
    `ip=${ip}`,
    'zone=z1',
    'zones.z1=r1',
    'zones.z2=r1',
    `listen.frontend=${ip}:${callers}`,
    `listen.readiness=${ip}:${ready}`,
    `listen.control=${ip}:${control}`,
    `internal_port_range=${peer},${peer}`,
    `seeds=${NET}.1:${control}`,
    'bootstrap=true',
    `data_dir=${dir}/data`,
    'bounds.max_hold_ms=1000',
    'bounds.grace_s=6',
    'bounds.new_one=1',
  ].join('\n');
}

async function post(url: string, body: object, host?: string) {
  const res = await request(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(host === undefined ? {} : {host}),
    },
    body: JSON.stringify(body),
  });
  return {status: res.statusCode, text: await res.body.text()};
}

/** Sends the orders as the platform does: without a body. */
async function checkEvacuation(api: string): Promise<void> {
  const order = async (path: string) => {
    const res = await request(`${api}/${path}`, {method: 'POST'});
    return {status: res.statusCode, text: await res.body.text()};
  };
  const startedAt = Date.now();
  for (const path of ['Evacuate.Start/z1', 'Evacuate.Start/z1']) {
    assert.equal((await order(path)).status, 200);
  }
  assert.isBelow(Date.now() - startedAt, 5_000);
  const unknown = await order('Evacuate.Start/z9');
  assert.equal(unknown.status, 404);
  assert.include(unknown.text, 'z9');
  await waitUntil('the gauge of the zone', async () => {
    const metrics = await request(`http://${NET}.1:9464/metrics`);
    const text = await metrics.body.text();
    return (
      text.includes('pimentoyoke_zone_evacuated{worker_zone="z1"} 1') &&
      text.includes('pimentoyoke_zone_evacuated{worker_zone="z2"} 0')
    );
  });
  assert.equal((await order('Evacuate.Finish/z1')).status, 200);
  assert.equal((await order('Evacuate.Finish/z2')).status, 200);
}

// Guards against processes that fail to connect: a job must pass from an entry
// process through a core process to a worker, and its reply back to the caller.
test('a job submitted to an entry process runs on a worker and completes', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'pimentoyoke-'));
  const ports = await findFreePorts(4);
  const children: ChildProcess[] = [];
  const worker = createWorker().listen(0, `${NET}.3`);
  try {
    await once(worker, 'listening');
    for (const [n, role] of ['core', 'entry'].entries()) {
      const file = join(dir, `${role}.conf`);
      writeFileSync(file, formatSettings(`${NET}.${n + 1}`, ports, dir));
      const env = {...process.env, PIMENTOYOKE_SETTINGS: file};
      const stdio = ['ignore', 'ignore', 'inherit'] as const;
      const child = spawn(process.execPath, [MAIN, role], {
        env,
        stdio: [...stdio],
      });
      children.push(child);
    }
    const [callers, ready, control] = ports;
    const config = {
      version: 1,
      routes: [
        {
          name: 'r',
          host: 'a.example',
          path_prefix: '/p/',
          // High enough for a slow or busy test machine.
          target_duration_ms: 10_000,
          timeout_ms: 1_500,
          backend: 's1',
        },
      ],
      backends: [{name: 's1'}],
      limits: {max_body_bytes: 262_144},
    };
    const heartbeat = {
      backend: 's1',
      address: `${NET}.3:${(worker.address() as {port: number}).port}`,
      zone: 'z1',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: {cpu: 4_000, mem_mb: 1_000, gpu: 0},
      seq: 1,
      born: 1,
    };
    const api = `http://${NET}.1:${control}`;
    const isDone = (url: string, body: object) =>
      post(url, body).then(
        ({status}) => status === 200,
        () => false,
      );
    await waitUntil('the configuration', () =>
      isDone(`${api}/Config.Put`, config),
    );
    await waitUntil('the heartbeat', () =>
      isDone(`${api}/Instances.Heartbeat/i-1`, heartbeat),
    );
    await waitUntil('readiness', () =>
      request(`http://${NET}.2:${ready}/ready`).then(
        res => res.statusCode === 200,
        () => false,
      ),
    );
    const job = {
      spec: 'text',
      best_effort: true,
      steps: [{count: 3, cpu: 1_000, mem_mb: 10, estimated_ms: RUN_MS}],
    };
    const entry = `http://${NET}.2:${callers}`;
    const res = await post(`${entry}/p/${JOB}`, job, 'a.example');
    assert.deepEqual(res, {status: 200, text: '{"state":"completed"}'});
    const none = await post(`${entry}/none/${JOB}`, job, 'a.example');
    assert.equal(none.status, 404);
    await checkEvacuation(api);
  } finally {
    for (const child of children) child.kill('SIGKILL');
    worker.close();
    worker.closeAllConnections();
    rmSync(dir, {recursive: true, force: true});
  }
});
