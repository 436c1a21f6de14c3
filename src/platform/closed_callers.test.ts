import {once} from 'node:events';
import {stat} from 'node:fs';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {assert} from 'chai';
import {createEntryGatewayBench} from '../../test-support/fakes/pool/entry_gateway_bench.js';
import {SteadyClock} from '../adapter/steady_clock.js';
import {SystemClock} from '../adapter/system_clock.js';
import type {Clock} from '../core/clock/clock.js';
import {CallerFrontend} from './caller_frontend.js';

const HOST = '127.0.0.1';
const CALLERS = 40;
/** Time for which a callback holds the event loop, so that timers become due. */
const HOLD_MS = 5;
const BODY = JSON.stringify({
  spec: 'x',
  best_effort: true,
  steps: [{count: 1, cpu: 1, mem_mb: 1, estimated_ms: 10}],
});

/** Ways in which a caller may close its connection. */
const CLOSE: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: socket => socket.destroy(),
  reset: socket => socket.resetAndDestroy(),
};

/**
 * Runs a task from a callback of the event loop: of a timer, or of a file operation,
 * which the loop handles like the reading of a socket.
 */
const FROM: Readonly<Record<string, (clock: Clock, task: () => void) => void>> =
  {
    'a timer': (clock, task) => void clock.schedule(0, task),
    'a reading': (_clock, task) => stat('.', () => task()),
  };

// Guards against polls that name jobs whose callers had closed their connections
// before: the event loop may take several turns to report that.
for (const [how, close] of Object.entries(CLOSE)) {
  for (const [where, runFrom] of Object.entries(FROM)) {
    for (const clock of [new SteadyClock(), new SystemClock()]) {
      const title = `${clock.constructor.name}: ${how}, from ${where}`;
      test(`callers that have gone are known after input, ${title}`, async () => {
        const {frontend, gateway} = createFrontend(clock);
        await frontend.http.start();
        const sockets = await submitJobs(frontend.http.port);
        while (gateway.openJobs < CALLERS) await turn();
        const known = await new Promise<number>(resolve => {
          runFrom(clock, () => {
            for (const socket of sockets) close(socket);
            clock.afterInput(() => resolve(gateway.openJobs));
            holdLoop(clock);
          });
        });
        for (const socket of sockets) socket.destroy();
        await frontend.http.drain();
        assert.equal(known, 0);
      });
    }
  }
}

function createFrontend(clock: Clock) {
  const {gateway} = createEntryGatewayBench();
  const noop = () => undefined;
  const frontend = new CallerFrontend({
    host: HOST,
    port: 0,
    clock,
    gateway,
    routing: () => undefined,
    observer: {
      recordJobEvent: noop,
      recordStateChange: noop,
      recordResponseTime: noop,
      recordPhase: noop,
      incrementCounter: noop,
    },
    onError: noop,
  });
  return {frontend, gateway};
}

async function submitJobs(port: number): Promise<Socket[]> {
  const sockets: Socket[] = [];
  for (let n = 0; n < CALLERS; n += 1) {
    const socket = connect(port, HOST).on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'connect');
    const id = n.toString(16).padStart(16, '0');
    socket.write(
      `POST /p/${id} HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n` +
        `Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
    );
  }
  return sockets;
}

function holdLoop(clock: Clock): void {
  const until = clock.now() + HOLD_MS;
  while (clock.now() < until);
}

function turn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
