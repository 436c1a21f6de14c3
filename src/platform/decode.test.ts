import {assert} from 'chai';
import * as fc from 'fast-check';
import {decodeConfig} from './decode_config.js';
import {decodeJob} from './decode_job.js';
import {decodeHeartbeat} from './decode_heartbeat.js';
import {parseJobPath} from './parse_job_path.js';

const ID = '5c0e7a21d94b36f8';

function configOf(change: object = {}, route: object = {}) {
  const first = {
    name: 'r1',
    host: 'a.example',
    path_prefix: '/p/',
    type: 'unsafe',
    timeout_ms: 1_500,
    target_duration_ms: 60,
    priority: 1,
    backend: 's1',
    max_attempts: 4,
    stretch: 1.6,
  };
  return {
    version: 7,
    routes: [
      {...first, ...route},
      {...first, path_prefix: '/p/q/'},
    ],
    backends: [{name: 's1', enforces_capacity: true}],
    ...change,
  };
}

function jobOf(change: object = {}, step: object = {}) {
  const steps = [{count: 4, cpu: 500, mem_mb: 64, estimated_ms: 90, ...step}];
  return {spec: 'text', best_effort: true, steps, ...change};
}

const heartbeat = {
  backend: 's1',
  address: '10.0.0.9:8080',
  zone: 'z1',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 0},
  labels: ['a', 'r1-3'],
  clock_ms: 482_113,
  seq: 4,
  born: 1_700_000_000_000,
};

/** Fields that workers of some operators do not send. */
const OPTIONAL_FIELDS = new Set(['labels', 'born', 'clock_ms']);

test('the queue with the longest matching path prefix is selected', () => {
  const table = decodeConfig(configOf()).unwrapOrElse(detail => {
    throw new Error(detail);
  });
  assert.equal(table.find('a.example', `/p/q/${ID}`)?.prefix, '/p/q/');
  assert.equal(table.find('a.example', `/p/${ID}`)?.prefix, '/p/');
  assert.isUndefined(table.find('b.example', `/p/${ID}`));
});

test('each kind of invalid configuration is refused', () => {
  const invalid = [
    configOf({}, {backend: 's2'}),
    configOf({}, {path_prefix: '/p/q/'}),
    configOf({}, {timeout_ms: 0}),
    configOf({}, {backend: undefined}),
    configOf({version: 'seven'}),
    configOf({routes: undefined}),
    null,
    'text',
  ];
  for (const body of invalid) assert.isTrue(decodeConfig(body).isErr);
});

test('a best-effort job is accepted', () => {
  const job = decodeJob(ID, jobOf());
  assert.isTrue(job.isOk);
  if (job.isOk) assert.equal(job.value.steps[0]!.demand.memoryMb, 64);
});

// Guards against accepting a job whose requirements are silently ignored.
test('jobs with unsupported features are refused as unsupported', () => {
  const bodies = [
    jobOf({best_effort: undefined}),
    jobOf({repeat_count: 3}),
    jobOf({}, {gang: true}),
    jobOf({}, {long_running: true}),
    jobOf({}, {fills: true}),
  ];
  for (const body of bodies) {
    const job = decodeJob(ID, body);
    assert.isTrue(job.isErr && job.error.kind === 'unsupported');
  }
});

test('a step may not depend on itself or a later step', () => {
  assert.isTrue(decodeJob(ID, jobOf({}, {after: [0]})).isErr);
});

// Guards against workers that dispatchers poll although nothing can be called
// at their address.
test('a heartbeat whose address cannot be called is rejected', () => {
  const addresses = [
    ...['127.0.0.1:99999', '127.0.0.1:65536', '127.0.0.1:0', '127.0.0.1:'],
    ...['256.0.0.1:80', '10.0.0:80', '10.0.0.1.2:80', '...:1', '0.0.0.0:80'],
    ...['224.0.0.1:80', '255.255.255.255:80', '010.0.0.1:80', '10.0.0.1'],
    ...['10.0.0.1:80:80', '10.0.0.1:80/x', ' 10.0.0.1:80', '10.0.0.1:-1'],
  ];
  for (const address of addresses) {
    assert.isUndefined(decodeHeartbeat('i', {...heartbeat, address}), address);
  }
  for (const address of ['10.0.0.1:1', '223.255.255.255:65535']) {
    const report = decodeHeartbeat('i', {...heartbeat, address});
    assert.equal(report?.address, address);
  }
});

// Guards against a heartbeat of another writer that displaces a worker, whose runs
// then count as over.
test('a heartbeat with a missing field is rejected', () => {
  for (const field of Object.keys(heartbeat)) {
    if (OPTIONAL_FIELDS.has(field)) continue;
    const body = {...heartbeat, [field]: undefined};
    assert.isUndefined(decodeHeartbeat('i', body), `${field} is missing`);
    const other = {...heartbeat, [field]: [{}]};
    assert.isUndefined(
      decodeHeartbeat('i', other),
      `${field} has another type`,
    );
  }
});

test('a malformed heartbeat is rejected', () => {
  assert.equal(decodeHeartbeat('i', heartbeat)?.capacity.memoryMb, 32_768);
  const malformed = [
    {...heartbeat, state: 'resting'},
    {...heartbeat, address: 'nowhere'},
    {...heartbeat, capacity: {cpu: '16'}},
    {...heartbeat, seq: undefined},
    [],
  ];
  for (const body of malformed) assert.isUndefined(decodeHeartbeat('i', body));
});

test('the job id is the last segment of the path', () => {
  assert.equal(parseJobPath(`/p/${ID}?x=1`).id, ID);
  assert.isUndefined(parseJobPath('/p/').id);
  assert.isUndefined(parseJobPath('/p/short').id);
});

test('decoders do not throw on arbitrary JSON', () => {
  const assertion = fc.property(fc.jsonValue(), body => {
    decodeConfig(body);
    decodeJob(ID, body);
    decodeHeartbeat('i', body);
  });
  fc.assert(assertion, {numRuns: 500, seed: 5});
});

// Guards against a job that the entry node takes and every dispatcher ignores,
// so that its caller waits until the deadline.
test('a job with a step without tasks is refused as invalid', () => {
  const {steps} = jobOf();
  const decoded = decodeJob(ID, jobOf({steps: [...steps, {count: 0}]}));
  assert.equal(decoded.isErr && decoded.error.kind, 'invalid');
});
