import type {ServerResponse} from 'node:http';
import type {BodyError} from '../adapter/http/body_error.js';
import {sendJson} from './send_json.js';

/** Answers a request whose body was not accepted. */
export function sendBodyError(res: ServerResponse, err: BodyError): void {
  const {status, detail, retryAfterMs} = err;
  if (retryAfterMs !== undefined) {
    res.setHeader('retry-after', Math.ceil(retryAfterMs / 1_000));
    // The rest of the body would have to be read and discarded.
    res.setHeader('connection', 'close');
  }
  sendJson(res, status, {detail});
}
