import {connect} from 'node:net';
import type {Socket} from 'node:net';

const HEAD_END = '\r\n\r\n';

interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** TCP client that sends arbitrary bytes and parses HTTP responses. */
export class RawHttpClient {
  readonly socket: Socket;
  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>;
  private received = Buffer.alloc(0);
  private notifyReader: () => void = () => undefined;

  constructor(port: number) {
    this.socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    this.socket.on('data', chunk => {
      this.received = Buffer.concat([this.received, chunk]);
      this.notifyReader();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('end', () => this.socket.end());
    this.closed = new Promise(resolve => {
      this.socket.once('close', () => {
        resolve();
        this.notifyReader();
      });
    });
  }

  /** Sends bytes, half-closes the connection and reads until it closes. */
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

  /** Waits for `count` responses in total or for the connection to close. */
  async read(count: number): Promise<RawResponse[]> {
    while (this.responses().length < count && !this.socket.closed) {
      await new Promise<void>(resolve => {
        this.notifyReader = resolve;
      });
    }
    return this.responses();
  }

  close(): void {
    this.socket.destroy();
  }

  /**
   * Complete responses received so far. Throws if the received bytes are not an
   * HTTP response.
   */
  responses(): RawResponse[] {
    const responses: RawResponse[] = [];
    let rest = this.received;
    for (;;) {
      const headLength = rest.indexOf(HEAD_END);
      if (headLength < 0) return responses;
      const [first, ...lines] = rest
        .subarray(0, headLength)
        .toString()
        .split('\r\n');
      const match = /^HTTP\/1\.1 (\d{3})/.exec(first ?? '');
      if (!match) throw new Error(`not an HTTP status line: ${first}`);
      const headers = Object.fromEntries(lines.map(splitHeader));
      const start = headLength + HEAD_END.length;
      const length = Number(headers['content-length'] ?? 0);
      if (rest.length < start + length) return responses;
      const body = rest.subarray(start, start + length).toString();
      responses.push({status: Number(match[1]), headers, body});
      rest = rest.subarray(start + length);
    }
  }
}

function splitHeader(line: string): [string, string] {
  const colon = line.indexOf(':');
  return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
}
