import {connect} from 'node:net';
import {assert} from 'chai';
import {HttpServer} from '../adapter/http/http_server.js';
import {SteadyClock} from '../adapter/steady_clock.js';
import {InputProgress} from '../core/pool/entry/input_progress.js';

const HOST = '127.0.0.1';
const CALLERS = 40;
/** Duration of each turn of the event loop. */
const TURN_MS = 3;

// Guards against contact that is counted up to a time at which a request waited in a
// connection that was not accepted yet: each turn of the event loop accepts only one.
test('connections that wait to be accepted hold back the progress of input', async () => {
  const clock = new SteadyClock();
  const input = new InputProgress(clock);
  const sentAt = new Map<string, number>();
  const lateMs: number[] = [];
  let handledLater = 0;
  const server = new HttpServer({
    host: HOST,
    port: 0,
    onConnection: () => input.recordConnection(),
    onError: assert.fail,
  });
  server.route('GET', '/:caller', (_req, res, {caller}) => {
    const at = sentAt.get(caller!)!;
    lateMs.push(input.acceptedUpTo - at);
    if (input.handledUpTo > at) handledLater += 1;
    res.end();
  });
  await server.start();
  await spin(clock, input, () => input.acceptedUpTo > input.handledUpTo - 1);
  for (let n = 0; n < CALLERS; n += 1) {
    const socket = connect(server.port, HOST, () => {
      sentAt.set(`${n}`, clock.now());
      socket.write(
        `GET /${n} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`,
      );
    });
    socket.resume().on('error', () => undefined);
  }
  await spin(clock, input, () => lateMs.length === CALLERS);
  await server.drain();
  assert.isBelow(Math.max(...lateMs), 0);
  assert.isAbove(handledLater, 0);
  const drainedAt = clock.now();
  await spin(clock, input, () => input.acceptedUpTo > drainedAt);
});

/** Runs long turns of the event loop until a condition holds. */
async function spin(
  clock: SteadyClock,
  input: InputProgress,
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    await new Promise<void>(resolve => {
      clock.schedule(0, () => {
        input.tick(clock.now());
        const until = clock.now() + TURN_MS;
        while (clock.now() < until);
        resolve();
      });
    });
  }
}
