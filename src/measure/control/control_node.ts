import {Socket} from 'node:net';
import {join} from 'node:path';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {TcpPeerTransport} from '../../adapter/peer/tcp_peer_transport.js';
import {SystemClock} from '../../adapter/system_clock.js';
import {SystemRandom} from '../../adapter/system_random.js';
import {ConfigService} from '../../daemon/config/config_service.js';
import {createLog} from '../../daemon/log/create_log.js';
import type {ControlNodeSettings} from './control_node_settings.js';
import type {ControlSample} from './control_sample.js';

// Child process of the measurement: runs the peer transport and the
// configuration service of one node.
const HOST = '127.0.0.1';
const settings = JSON.parse(process.argv[2]!) as ControlNodeSettings;
const self = settings.nodes.find(n => n.id === settings.node)!;
const clock = new SystemClock();
const addressOf = ({id, port}: {id: string; port: number}) => ({
  node: id,
  host: HOST,
  port,
});
const peers = new TcpPeerTransport({
  node: self.id,
  listen: addressOf(self),
  peers: settings.nodes.filter(n => n.id !== self.id).map(addressOf),
  clock,
  onError: () => undefined,
});
const service = new ConfigService({
  node: self.id,
  nodes: settings.nodes,
  dataDir: self.voter ? join(settings.dir, self.id) : undefined,
  clock,
  peers,
  random: new SystemRandom(),
  log: createLog({node: self.id, zone: 'z'}),
});

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

function netBytes(): number {
  const handles = (
    process as unknown as {_getActiveHandles(): unknown[]}
  )._getActiveHandles();
  return handles
    .filter(
      (h): h is Socket => h instanceof Socket && h.remotePort !== undefined,
    )
    .reduce((sum, s) => sum + s.bytesRead + s.bytesWritten, 0);
}

function sample(): ControlSample {
  const cpu = process.cpuUsage();
  const wallMs = performance.now();
  collectGarbage();
  return {
    cpuMs: (cpu.user + cpu.system) / 1_000,
    wallMs,
    heapBytes: process.memoryUsage().heapUsed,
    netBytes: netBytes(),
    version: service.source.current().version,
  };
}

process.on('message', (message: {id: number; change?: object}) => {
  const {id, change} = message;
  if (change === undefined) {
    process.send!({id, result: sample()});
    return;
  }
  void service
    .change(change)
    .then(result => process.send!({id, result: result.isOk}));
});
process.on('disconnect', () => process.exit(0));

await peers.start();
await service.start();
