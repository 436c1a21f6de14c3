import {assert} from 'chai';
import {Service} from './service.js';
import {Supervisor} from './supervisor.js';

class Part extends Service {
  constructor(
    override readonly name: string,
    private readonly calls: string[],
    private readonly fails?: 'start' | 'stop',
  ) {
    super();
  }

  override async start(): Promise<void> {
    if (this.fails === 'start') throw new Error('cannot start');
    this.calls.push(`+${this.name}`);
  }

  override async stop(): Promise<void> {
    if (this.fails === 'stop') throw new Error('cannot stop');
    this.calls.push(`-${this.name}`);
  }
}

test('parts stop in reverse order of their start', async () => {
  const calls: string[] = [];
  const parts = ['a', 'b', 'c'].map(name => new Part(name, calls));
  const supervisor = new Supervisor('all', parts);
  await supervisor.start();
  await supervisor.stop();
  assert.deepEqual(calls, ['+a', '+b', '+c', '-c', '-b', '-a']);
});

test('a part that cannot start stops those before it', async () => {
  const calls: string[] = [];
  const supervisor = new Supervisor('all', [
    new Part('a', calls),
    new Part('b', calls, 'start'),
    new Part('c', calls),
  ]);
  const err = await supervisor.start().catch((reason: unknown) => reason);
  assert.match(String(err), /cannot start/);
  assert.deepEqual(calls, ['+a', '-a']);
});

test('a part that cannot stop is reported and the others stop', async () => {
  const calls: string[] = [];
  const failed: string[] = [];
  const supervisor = new Supervisor('all', [
    new Part('a', calls),
    new Part('b', calls, 'stop'),
    new Part('c', calls),
  ]);
  supervisor.events.on('failed', ({service}) => void failed.push(service));
  await supervisor.start();
  await supervisor.stop();
  assert.deepEqual(calls.slice(3), ['-c', '-a']);
  assert.deepEqual(failed, ['b']);
});
