import type {ServerResponse} from 'node:http';

/** Answers with a JSON body; text is taken for JSON. Answers only once. */
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
