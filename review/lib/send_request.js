import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/**
 * Sends one HTTP request as a client or operator does. Resolves with `status`
 * and `body`, or with `error` if the connection ended without a complete answer.
 */
export function sendRequest(url, options = {}) {
  const {method = 'GET', headers = {}, json, timeoutMs, agent = false} = options;
  return new Promise(resolve => {
    const body = json === undefined ? undefined : JSON.stringify(json);
    const req = request(url, {
      method,
      agent,
      headers: {
        ...headers,
        ...(body === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(body),
            }),
      },
    });
    const timer =
      timeoutMs &&
      globalThis.setTimeout(() => req.destroy(new Error('timeout')), timeoutMs);
    const finish = result => {
      globalThis.clearTimeout(timer);
      resolve(result);
    };
    req.on('error', err => finish({error: err.code ?? err.message}));
    req.on('response', res => {
      let text = '';
      res.setEncoding('utf8').on('data', chunk => (text += chunk));
      res.on('error', err => finish({error: err.code ?? err.message}));
      res.on('end', () => finish({status: res.statusCode, body: parse(text)}));
    });
    req.end(body);
  });
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
