import type {ServerResponse} from 'node:http';

/**
 * Sends a JSON reply. A string body must already be JSON. Does nothing if a reply
 * was sent before or the connection is closed.
 */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: object | string,
): void {
  if (res.headersSent || res.destroyed) return;
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
