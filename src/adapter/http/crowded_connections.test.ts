import {once} from 'node:events';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {assert} from 'chai';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {HttpServer} from './http_server.js';

const HOST = '127.0.0.1';
const REQUEST = 'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n';
const UPLOAD =
  'POST /upload HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n' +
  'Content-Length: 9\r\n\r\n{';

// Making room for a new connection must not cut a request that was received whole.
test('a full server closes the oldest incomplete connection and no awaiting one', async () => {
  const answers: Array<() => void> = [];
  const server = new HttpServer({
    host: HOST,
    port: 0,
    limits: {maxConnections: 3},
    onError: () => undefined,
  });
  server.route('GET', '/slow', (_req, res) => {
    answers.push(() => res.end('done'));
  });
  const body = {takesBody: true};
  server.route('POST', '/upload', req => void server.bodies.read(req, 9), body);
  await server.start();
  const sockets: Socket[] = [];
  const open = (text: string) => {
    const socket = connect(server.port, HOST);
    sockets.push(socket);
    socket.on('error', () => undefined).write(text);
    return socket;
  };
  const awaiting = open(REQUEST);
  const pipelined = open(REQUEST + UPLOAD);
  await waitUntil('both requests', () => answers.length === 2);
  const incomplete = open('GET /slow HT').resume();
  await once(incomplete, 'connect');
  // It ends with an error, for which `once` would reject.
  const closed = new Promise(resolve => incomplete.once('close', resolve));
  open(REQUEST);
  await closed;
  for (const answer of answers) answer();
  for (const socket of [awaiting, pipelined]) {
    const [data] = (await once(socket, 'data')) as [Buffer];
    assert.match(data.toString(), /^HTTP\/1\.1 200/);
  }
  for (const socket of sockets) socket.destroy();
  await server.drain();
});
