import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {RunOutcome} from '../../core/job/run_outcome.js';
import {ConnectionState} from './connection_state.js';
import {problemDocument} from './problem_document.js';

interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

interface Connection {
  requests: number;
  /** Requests without a complete response, in order of arrival. */
  readonly open: Set<Exchange>;
  last: Exchange | undefined;
  /** True once no further request of the connection is accepted. */
  isClosing: boolean;
}

interface ConnectionTrackerOptions {
  /** Requests after which a connection is closed. */
  readonly maxRequests: number;
  /** Open connections; further ones take the place of others. */
  readonly maxConnections: number;
}

interface ClientError extends Error {
  readonly code?: string;
}

const REQUEST_TIMEOUT: ClientError = Object.assign(
  new Error('the request was not received completely in time'),
  {code: 'ERR_HTTP_REQUEST_TIMEOUT'},
);

const STATUS_OF_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Tracks the open requests of each connection. A response to a parse error is
 * sent only if the client cannot mistake it for the response of an earlier,
 * well-formed request.
 */
export class ConnectionTracker {
  private isClosing = false;
  private readonly connections = new WeakMap<Socket, Connection>();
  private readonly responses = new Set<ServerResponse>();
  private readonly sockets = new Set<Socket>();

  constructor(
    server: Server,
    private readonly opts: ConnectionTrackerOptions,
  ) {
    server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      if (this.sockets.size > opts.maxConnections) this.closeOne();
    });
    server.on('clientError', (err: ClientError, socket) =>
      this.reject(err, socket as Socket),
    );
  }

  /**
   * Makes every further response close its connection. This includes requests
   * that are already open, because their connections would otherwise delay the
   * server's `close` by the keep-alive timeout.
   */
  closeAfterResponses(): void {
    this.isClosing = true;
    for (const res of this.responses) closeAfterResponse(res);
  }

  /** Fails every connection except those whose requests await a response. */
  failIncompleteRequests(): void {
    for (const socket of this.sockets) this.reject(REQUEST_TIMEOUT, socket);
  }

  /** Adds a request; false if its connection accepts no further requests. */
  addRequest(req: IncomingMessage, res: ServerResponse): boolean {
    const connection = this.connectionOf(req.socket);
    if (connection.isClosing) return false;
    connection.requests += 1;
    if (connection.requests >= this.opts.maxRequests) {
      connection.isClosing = true;
    }
    if (connection.isClosing || this.isClosing) closeAfterResponse(res);
    const exchange = {req, res};
    connection.last = exchange;
    connection.open.add(exchange);
    this.responses.add(res);
    res.once('close', () => {
      connection.open.delete(exchange);
      this.responses.delete(res);
    });
    // A failed connection is not an error of the server.
    res.on('error', () => undefined);
    return true;
  }

  /**
   * Closes the connection whose request has been incomplete for longest, as those of
   * ordinary clients are complete within moments; otherwise the oldest idle one. If all
   * requests await their responses, it is the newest connection.
   */
  private closeOne(): void {
    let idle: Socket | undefined;
    let newest: Socket | undefined;
    for (const socket of this.sockets) {
      const state = this.stateOf(socket);
      if (state === ConnectionState.incomplete) return this.close(socket);
      if (state === ConnectionState.idle) idle ??= socket;
      newest = socket;
    }
    this.close((idle ?? newest)!);
  }

  private close(socket: Socket): void {
    this.sockets.delete(socket);
    socket.destroy();
  }

  private stateOf(socket: Socket): ConnectionState {
    const {open, last} = this.connectionOf(socket);
    // Of pipelined requests, an earlier one may be complete.
    const isAwaiting = [...open].some(({req}) => req.complete);
    if (isAwaiting) return ConnectionState.awaiting;
    return last?.req.complete
      ? ConnectionState.idle
      : ConnectionState.incomplete;
  }

  private connectionOf(socket: Socket): Connection {
    const existing = this.connections.get(socket);
    if (existing) return existing;
    const connection: Connection = {
      requests: 0,
      open: new Set(),
      last: undefined,
      isClosing: false,
    };
    this.connections.set(socket, connection);
    return connection;
  }

  private reject(err: ClientError, socket: Socket): void {
    const connection = this.connectionOf(socket);
    connection.isClosing = true;
    if (!socket.writable || err.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const {last, open} = connection;
    const isPartOfLast = last !== undefined && !last.req.complete;
    const earlier = [...open].filter(e => e !== last || !isPartOfLast);
    if (earlier.length > 0) {
      // Open requests still get their responses; the malformed one gets none.
      for (const {res} of earlier) {
        res.once('close', () => {
          if (connection.open.size === 0) socket.destroySoon();
        });
      }
      return;
    }
    if (isPartOfLast && last.res.headersSent) {
      socket.destroy();
      return;
    }
    socket.end(serializeProblem(err), () => socket.destroy());
  }
}

function closeAfterResponse(res: ServerResponse): void {
  if (!res.headersSent) res.setHeader('connection', 'close');
}

/** Serializes the response to a request that Node could not parse. */
function serializeProblem(err: ClientError): string {
  const status = STATUS_OF_CODE[err.code ?? ''] ?? 400;
  const {headers, body} = problemDocument({
    status,
    code: status === 408 ? 'timeout' : 'invalid',
    outcome: RunOutcome.notRun,
    detail: err.message,
  });
  const lines = Object.entries({...headers, connection: 'close'}).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  const reason = STATUS_CODES[status] ?? '';
  return `HTTP/1.1 ${status} ${reason}\r\n${lines.join('')}\r\n${body}`;
}
