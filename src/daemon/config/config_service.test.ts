import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assert} from 'chai';
import {findFreePorts} from '../../../test-support/cluster/find_free_ports.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {TcpPeerTransport} from '../../adapter/peer/tcp_peer_transport.js';
import {SystemClock} from '../../adapter/system_clock.js';
import {SystemRandom} from '../../adapter/system_random.js';
import {createLog} from '../log/create_log.js';
import {ConfigService} from './config_service.js';

const HOST = '127.0.0.1';
const NODES = [
  {id: 'v1', voter: true},
  {id: 'v2', voter: true},
  {id: 'v3', voter: true},
  {id: 'f1', voter: false},
];

interface Running {
  readonly peers: TcpPeerTransport;
  readonly service: ConfigService;
}

type Nodes = typeof NODES;

/** Config services with real connections and data folders in one process. */
class Services {
  private readonly running = new Map<string, Running>();

  private constructor(
    private readonly nodes: Nodes,
    private readonly ports: readonly number[],
    private readonly dir: string,
  ) {}

  static async run(
    nodes: Nodes,
    body: (services: Services) => Promise<void>,
  ): Promise<void> {
    const dir = mkdtempSync(join(tmpdir(), 'pimento-config-'));
    const services = new Services(
      nodes,
      await findFreePorts(nodes.length),
      dir,
    );
    try {
      await services.startAll();
      await body(services);
    } finally {
      await services.stopAll();
      rmSync(dir, {recursive: true, force: true});
    }
  }

  get(id: string): ConfigService {
    return this.running.get(id)!.service;
  }

  isAt(version: number): boolean {
    return this.nodes.every(
      n => this.get(n.id).source.current().version === version,
    );
  }

  async start(id: string): Promise<void> {
    const {nodes, ports} = this;
    const clock = new SystemClock();
    const addressOf = (node: string) => ({
      host: HOST,
      port: ports[nodes.findIndex(n => n.id === node)]!,
    });
    const peers = new TcpPeerTransport({
      node: id,
      listen: addressOf(id),
      peers: nodes
        .filter(n => n.id !== id)
        .map(n => ({node: n.id, ...addressOf(n.id)})),
      clock,
      onError: () => undefined,
    });
    const service = new ConfigService({
      node: id,
      nodes,
      dataDir: id.startsWith('v') ? join(this.dir, id) : undefined,
      clock,
      peers,
      random: new SystemRandom(),
      log: createLog({node: id, zone: 'z', write: () => undefined}),
    });
    await peers.start();
    this.running.set(id, {peers, service});
    await service.start();
  }

  async stop(id: string): Promise<void> {
    const {peers, service} = this.running.get(id)!;
    this.running.delete(id);
    await service.stop();
    await peers.stop();
  }

  async stopAll(): Promise<void> {
    for (const id of [...this.running.keys()]) await this.stop(id);
  }

  private async startAll(): Promise<void> {
    await Promise.all(this.nodes.map(n => this.start(n.id)));
  }
}

function changeOf(key: string, expected: number, targetMs: number): object {
  return {
    key,
    expected_version: expected,
    put_classes: [{name: 'reports', target_ms: targetMs}],
  };
}

test('a change made on any daemon comes into force everywhere and is durable', () =>
  Services.run(NODES, async services => {
    await waitUntil('the initial configuration', () => services.isAt(1));
    const made = await services.get('f1').change(changeOf('k1', 1, 300));
    assert.deepEqual(made.unwrapOr({version: 0}), {version: 2});
    await waitUntil('version 2', () => services.isAt(2));
    const resent = await services.get('v1').change(changeOf('k1', 1, 300));
    assert.deepEqual(resent.unwrapOr({version: 0}), {version: 2});
    const lost = await services.get('v2').change(changeOf('k2', 1, 400));
    assert.isTrue(lost.isErr);
    if (lost.isErr) assert.equal(lost.error.version, 2);
    const read = await services.get('f1').read();
    assert.isTrue(read.isCurrent);
    assert.equal(read.config.classes['reports']!.target_ms, 300);
    await services.stopAll();
    await services.start('v2');
    assert.equal(services.get('v2').source.current().version, 2);
  }));

test('invalid input is refused with the name of the field and has no effect', () =>
  Services.run(NODES, async services => {
    const service = services.get('f1');
    const refused = await service.change(changeOf('k1', 1, -5));
    assert.isTrue(refused.isErr);
    if (refused.isErr) {
      assert.equal(refused.error.code, 'invalid');
      assert.include(refused.error.detail, 'put_classes.0.target_ms');
    }
    const bad = await service.changeMembers({op: 'replace', old: 'v1'});
    assert.isTrue(bad.isErr);
    const {config} = await service.read();
    assert.equal(config.version, 1);
  }));

// Guards against a graceful stop that leaves the log without a leader until the
// election timeout.
test('when the leader stops gracefully, another one takes over at once', () =>
  Services.run(NODES, async services => {
    const service = services.get('f1');
    await waitUntil('a leader', async () => {
      const {role} = await service.status();
      return role === 'leader';
    });
    const {node} = await service.status();
    await services.stop(node);
    const made = await service.change(changeOf('k1', 1, 300));
    assert.deepEqual(made.unwrapOr({version: 0}), {version: 2});
  }));

test('without voters the configuration is fixed', () =>
  Services.run([{id: 'f1', voter: false}], async services => {
    const service = services.get('f1');
    assert.equal(service.source.current().version, 1);
    const refused = await service.change(changeOf('k1', 1, 300));
    assert.isTrue(refused.isErr);
    if (refused.isErr) {
      assert.equal(refused.error.outcome, 'not_made');
      assert.include(refused.error.detail, 'fixed');
    }
  }));

test('an order of any daemon comes into force everywhere and is durable', () =>
  Services.run(NODES, async services => {
    await waitUntil('the initial configuration', () => services.isAt(1));
    const order = {zone: 'z', isEvacuated: true};
    for (const id of ['f1', 'v1', 'v2', 'v3', 'f1']) {
      const made = await services.get(id).evacuate(order);
      assert.deepEqual(made.unwrapOr({version: 0}), {version: 2});
    }
    await waitUntil('version 2', () => services.isAt(2));
    await services.stopAll();
    await services.start('v2');
    assert.deepEqual(services.get('v2').newest.evacuated, ['z']);
  }));

test('without voters an order is refused as not made', () =>
  Services.run([{id: 'f1', voter: false}], async services => {
    const order = {zone: 'z', isEvacuated: true};
    const refused = await services.get('f1').evacuate(order);
    assert.isTrue(refused.isErr && refused.error.outcome === 'not_made');
  }));
