import type {Dispatcher} from 'undici';
import {Result} from 'true-myth';
import type {Clock} from '../../core/clock/clock.js';

interface Request {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

interface Response {
  readonly status: number;
  readonly text: string;
}

interface RequestError {
  readonly detail: string;
  /** Whether no process listened at the address. */
  readonly isRefused: boolean;
  /** Whether the request was not written because `mayBegin` forbade it. */
  readonly isWithheld: boolean;
}

interface RequestLimits {
  readonly timeoutMs: number;
  /** A longer response body is an error. */
  readonly maxBytes: number;
  readonly clock: Clock;
  /**
   * Asked before the request is written, which may be long after the call: it waits
   * for a connection. Default: it may be written until the timeout.
   */
  readonly mayBegin?: (() => boolean) | undefined;
}

/**
 * Sends an HTTP request and resolves with its complete response or an error.
 * It uses the dispatch API of undici: without body streams and abort
 * signals a call takes a third of the CPU time.
 */
export function sendRequest(
  dispatcher: Dispatcher,
  request: Request,
  {timeoutMs, maxBytes, clock, mayBegin = () => true}: RequestLimits,
): Promise<Result<Response, RequestError>> {
  return new Promise(resolve => {
    let controller: Dispatcher.DispatchController | undefined;
    let isFinished = false;
    let isWithheld = false;
    let status = 0;
    let bytes = 0;
    const chunks: Buffer[] = [];
    const timer = clock.schedule(timeoutMs, () => {
      const detail = `no response in ${timeoutMs} ms`;
      finish(Result.err({detail, isRefused: false, isWithheld: false}));
      controller?.abort(new Error('timeout'));
    });
    const finish = (result: Result<Response, RequestError>) => {
      timer.cancel();
      resolve(result);
      isFinished = true;
    };
    dispatcher.dispatch(request, {
      onRequestStart: newController => {
        controller = newController;
        // An error leaves the connection to other requests.
        isWithheld = !isFinished && !mayBegin();
        if (isFinished || isWithheld) {
          throw new Error('the request was not sent');
        }
      },
      onResponseStart: (_controller, code) => {
        status = code;
      },
      onResponseData: (_controller, chunk) => {
        bytes += chunk.length;
        if (bytes <= maxBytes) {
          chunks.push(chunk);
          return;
        }
        // The rest would occupy the thread for as long as the peer sends.
        controller?.abort(new Error(`the response exceeds ${maxBytes} bytes`));
      },
      onResponseEnd: () => {
        const text = Buffer.concat(chunks).toString('utf8');
        finish(Result.ok({status, text}));
      },
      onResponseError: (_controller, err) => {
        const isRefused =
          (err as NodeJS.ErrnoException).code === 'ECONNREFUSED';
        finish(Result.err({detail: err.message, isRefused, isWithheld}));
      },
    });
  });
}
