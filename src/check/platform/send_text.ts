import {request} from 'undici';

interface TextRequest {
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: string;
  readonly timeoutMs: number;
}

interface TextReply {
  readonly status: number;
  readonly text: string;
}

/** Sends a body as it is; undefined after any failure. */
export async function sendText({
  method,
  url,
  body,
  timeoutMs,
}: TextRequest): Promise<TextReply | undefined> {
  try {
    const res = await request(url, {
      method,
      headers: body === undefined ? {} : {'content-type': 'application/json'},
      body: body ?? null,
      signal: AbortSignal.timeout(timeoutMs),
    });
    return {status: res.statusCode, text: await res.body.text()};
  } catch {
    return undefined;
  }
}
