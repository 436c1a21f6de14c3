import {assert} from 'chai';
import {findFreePorts} from '../../../test-support/cluster/find_free_ports.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {jobSpecOf} from '../../../test-support/fakes/job_spec_of.js';
import {newJobKey} from '../../../test-support/fakes/new_job_key.js';
import {FakeFleet} from '../../../test-support/fakes/fake_fleet.js';
import {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import {StaticConfigSource} from '../../core/config/static_config_source.js';
import {FifoPolicy} from '../../core/dispatch/fifo_policy.js';
import {SingleNodeReplicator} from '../../core/group/single_node_replicator.js';
import {JobTable} from '../../core/job/job_table.js';
import {JobRouter} from '../../daemon/zone/job_router.js';
import {ZoneDirectory} from '../../daemon/zone/zone_directory.js';
import {ZoneService} from '../../daemon/zone/zone_service.js';
import {SystemClock} from '../system_clock.js';
import {TcpPeerTransport} from './tcp_peer_transport.js';

const HOST = '127.0.0.1';
const MEMORY_AGE_MS = 10_000;
const TASK_MS = 400;
const WAIT_MS = 20_000;

/**
 * Guards against a forwarded job that is lost or runs twice when the link stops
 * responding: node a forwards the job to node b through a relay, which then
 * drops all bytes in `direction`.
 */
async function submitOverRelay(
  direction: 'to_target' | 'to_client' | 'both',
): Promise<void> {
  const clock = new SystemClock();
  const [portOfA = 0, portOfB = 0] = await findFreePorts(2);
  const relay = await TcpRelay.listen(portOfB);
  const onError = () => undefined;
  const a = new TcpPeerTransport({
    node: 'a',
    listen: {host: HOST, port: portOfA},
    peers: [{node: 'b', host: HOST, port: relay.port}],
    clock,
    onError,
  });
  const b = new TcpPeerTransport({
    node: 'b',
    listen: {host: HOST, port: portOfB},
    peers: [{node: 'a', host: HOST, port: portOfA}],
    clock,
    onError,
  });
  const fleet = new FakeFleet({clock});
  const replicator = new SingleNodeReplicator('b');
  const service = new ZoneService({
    clock,
    peers: b,
    replicator,
    table: new JobTable(),
    zone: 'arbat',
    otherZones: [],
    announceSpare: () => undefined,
    policy: new FifoPolicy(),
    config: new StaticConfigSource({
      version: 1,
      classes: {default: DispatchBench.classOf('default')},
      tenants: {},
    }),
    upstream: fleet,
  });
  try {
    await Promise.all([a.start(), b.start()]);
    await waitUntil(
      'the connection of node a',
      () => a.connected().length === 1,
    );
    replicator.lead(clock.now() - MEMORY_AGE_MS);
    const worker = fleet.add({
      worker: 'w1',
      incarnation: 'i1',
      sequence: 1,
      zone: 'panfilov',
      rack: 'rack-1',
      address: 'http://127.0.0.1/w1',
      slots: 8,
      connections: 64,
      processors: 1,
      memory_mb: 1_000,
      accelerators: 0,
      classes: [],
      leaving: false,
      epoch: 0,
    });
    const announce = () => service.announce(worker.nextAnnouncement());
    announce();
    const announceTimer = setInterval(announce, 500);
    const directory = new ZoneDirectory([
      {id: 'a', zone: 'arbat'},
      {id: 'b', zone: 'panfilov'},
    ]);
    const key = newJobKey('panfilov', clock.now());
    const answer = new JobRouter(directory, a, clock).route(key, {
      kind: 'submit',
      key: key.text,
      waitMs: WAIT_MS,
      spec: jobSpecOf(key, [TASK_MS], clock.now()),
    });
    await waitUntil('the start of the task', () => worker.running === 1);
    relay.silence(direction);
    const result = await answer;
    clearInterval(announceTimer);
    assert.isTrue(result.isOk);
    assert.propertyVal(result.unwrapOr(undefined), 'status', 'complete');
    assert.lengthOf(worker.starts, 1);
  } finally {
    service.stop();
    await Promise.all([a.stop(), b.stop()]);
    await relay.close();
  }
}

for (const direction of ['to_target', 'to_client', 'both'] as const) {
  test(`a forwarded job completes although its link is silent: ${direction}`, () =>
    submitOverRelay(direction));
}
