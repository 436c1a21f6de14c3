import {connect} from 'node:net';
import type {Socket} from 'node:net';

const HEAD_END = '\r\n\r\n';

interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A TCP client that sends any bytes and reads HTTP responses. */
export class RawHttpClient {
  readonly socket: Socket;
  /** Settles when the connection is closed. */
  readonly closed: Promise<void>;
  private received = Buffer.alloc(0);
  private wake: () => void = () => undefined;

  constructor(port: number) {
    this.socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    this.socket.on('data', chunk => {
      this.received = Buffer.concat([this.received, chunk]);
      this.wake();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('end', () => this.socket.end());
    this.closed = new Promise(resolve => {
      this.socket.once('close', () => {
        resolve();
        this.wake();
      });
    });
  }

  /** Sends bytes, ends the sending side and reads until the server closes. */
  static async exchange(
    port: number,
    bytes: string | Uint8Array,
  ): Promise<RawResponse[]> {
    const client = new RawHttpClient(port);
    client.send(bytes);
    client.socket.end();
    await client.closed;
    return client.responses();
  }

  send(bytes: string | Uint8Array): void {
    this.socket.write(bytes);
  }

  /** Waits for the given number of responses, or for the end. */
  async read(count: number): Promise<RawResponse[]> {
    while (this.responses().length < count && !this.socket.closed) {
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
    }
    return this.responses();
  }

  close(): void {
    this.socket.destroy();
  }

  /** Whole responses received so far; throws on bytes that are none. */
  responses(): RawResponse[] {
    const responses: RawResponse[] = [];
    let rest = this.received;
    for (;;) {
      const at = rest.indexOf(HEAD_END);
      if (at < 0) return responses;
      const [first, ...lines] = rest.subarray(0, at).toString().split('\r\n');
      const match = /^HTTP\/1\.1 (\d{3})/.exec(first ?? '');
      if (!match) throw new Error(`no HTTP response: ${first}`);
      const headers = Object.fromEntries(lines.map(splitHeader));
      const start = at + HEAD_END.length;
      const length = Number(headers['content-length'] ?? 0);
      if (rest.length < start + length) return responses;
      const body = rest.subarray(start, start + length).toString();
      responses.push({status: Number(match[1]), headers, body});
      rest = rest.subarray(start + length);
    }
  }
}

function splitHeader(line: string): [string, string] {
  const at = line.indexOf(':');
  return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
}
