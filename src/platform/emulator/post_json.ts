import {request} from 'undici';

/** Callers of the control API try the next node after this time. */
const TIMEOUT_MS = 1_000;

/** Body of the reply with status 200; undefined after any failure. */
export async function postJson(
  url: string,
  body: object,
): Promise<Readonly<Record<string, unknown>> | undefined> {
  try {
    const res = await request(url, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const reply = await res.body.json();
    return res.statusCode === 200
      ? (reply as Record<string, unknown>)
      : undefined;
  } catch {
    return undefined;
  }
}
