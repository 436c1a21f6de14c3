/**
 * Path from one machine to a node, which can be cut. What is sent meanwhile is held
 * up, and delivered some time after the cut, also if its sender has gone.
 */
import net from 'node:net';
import {setTimeout} from 'node:timers';

export class HeldLink {
  /** `lagMs`: time after the cut until held bytes are sent again. */
  constructor(host, target, lagMs) {
    this.host = host;
    this.target = target;
    this.lagMs = lagMs;
    this.isCut = false;
    this.held = [];
    this.sockets = new Set();
  }

  get address() {
    return `${this.host}:${this.server.address().port}`;
  }

  async listen() {
    this.server = net.createServer({allowHalfOpen: true}, socket =>
      this.onConnection(socket),
    );
    await new Promise(resolve => this.server.listen(0, this.host, resolve));
  }

  cut() {
    this.isCut = true;
  }

  heal() {
    this.isCut = false;
    const held = this.held.splice(0);
    setTimeout(() => {
      for (const deliver of held) deliver();
    }, this.lagMs);
  }

  onConnection(socket) {
    const at = this.target.lastIndexOf(':');
    const out = {
      host: this.target.slice(0, at),
      port: Number(this.target.slice(at + 1)),
    };
    const chunks = [];
    let upstream;
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    const connect = () => {
      upstream = net.connect(out);
      this.sockets.add(upstream);
      upstream.on('close', () => this.sockets.delete(upstream));
      upstream.on('error', () => socket.destroy());
      for (const chunk of chunks) upstream.write(chunk);
      upstream.on('data', data => {
        if (!socket.destroyed) socket.write(data);
      });
      upstream.on('end', () => socket.end());
    };
    socket.on('data', data => {
      if (upstream) upstream.write(data);
      else chunks.push(data);
    });
    socket.on('end', () => upstream?.end());
    if (this.isCut) this.held.push(connect);
    else connect();
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
