import type {Result} from 'true-myth';
import type {PeerError} from './peer_error.js';

type MessageHandler = (from: string, body: unknown, now: number) => void;
type RequestHandler = (from: string, body: unknown) => Promise<unknown>;

/** Messages between the daemons of a deployment. */
export abstract class PeerTransport {
  protected readonly messageHandlers = new Map<string, MessageHandler>();
  protected readonly requestHandlers = new Map<string, RequestHandler>();

  /** Sends a one-way message; it is dropped if the node is unreachable. */
  abstract send(node: string, kind: string, body: unknown): void;

  /** Sends a request and waits for its response. */
  abstract request(
    node: string,
    method: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>>;

  onMessage(kind: string, handler: MessageHandler): void {
    this.messageHandlers.set(kind, handler);
  }

  onRequest(method: string, handler: RequestHandler): void {
    this.requestHandlers.set(method, handler);
  }
}
