import {connect} from 'node:net';
import type {Socket} from 'node:net';

interface ClientCrowdOptions {
  readonly host: string;
  readonly port: number;
}

/** Many raw connections that send a text and stay open. */
export class ClientCrowd {
  private readonly sockets: Socket[] = [];

  constructor(private readonly opts: ClientCrowdOptions) {}

  /** Opens connections; resolves once each has sent its text or was closed. */
  async send(count: number, textOf: () => string): Promise<void> {
    const work = Array.from({length: count}, () => this.sendOne(textOf()));
    await Promise.all(work);
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private sendOne(text: string): Promise<void> {
    return new Promise(resolve => {
      const socket = connect(this.opts);
      this.sockets.push(socket);
      // A server may refuse such clients.
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      socket.on('data', () => undefined);
      socket.write(text, () => resolve());
    });
  }
}
