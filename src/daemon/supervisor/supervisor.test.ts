import {assert} from 'chai';
import {Service} from './service.js';
import {Supervisor} from './supervisor.js';

class FakeService extends Service {
  constructor(
    override readonly name: string,
    private readonly calls: string[],
    private readonly failsOn?: 'start' | 'stop',
  ) {
    super();
  }

  override async start(): Promise<void> {
    if (this.failsOn === 'start') throw new Error('cannot start');
    this.calls.push(`+${this.name}`);
  }

  override async stop(): Promise<void> {
    if (this.failsOn === 'stop') throw new Error('cannot stop');
    this.calls.push(`-${this.name}`);
  }
}

test('services stop in reverse order of their start', async () => {
  const calls: string[] = [];
  const services = ['a', 'b', 'c'].map(name => new FakeService(name, calls));
  const supervisor = new Supervisor('all', services);
  await supervisor.start();
  await supervisor.stop();
  assert.deepEqual(calls, ['+a', '+b', '+c', '-c', '-b', '-a']);
});

// Guards against a failed start that leaves earlier services running.
test('when a service fails to start, the earlier ones are stopped', async () => {
  const calls: string[] = [];
  const supervisor = new Supervisor('all', [
    new FakeService('a', calls),
    new FakeService('b', calls, 'start'),
    new FakeService('c', calls),
  ]);
  const err = await supervisor.start().catch((reason: unknown) => reason);
  assert.match(String(err), /cannot start/);
  assert.deepEqual(calls, ['+a', '-a']);
});

test('a service that fails to stop is reported and the others stop', async () => {
  const calls: string[] = [];
  const failed: string[] = [];
  const supervisor = new Supervisor('all', [
    new FakeService('a', calls),
    new FakeService('b', calls, 'stop'),
    new FakeService('c', calls),
  ]);
  supervisor.events.on('failed', ({service}) => void failed.push(service));
  await supervisor.start();
  await supervisor.stop();
  assert.deepEqual(calls.slice(3), ['-c', '-a']);
  assert.deepEqual(failed, ['b']);
});
