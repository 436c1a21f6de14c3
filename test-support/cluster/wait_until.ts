const POLL_INTERVAL_MS = 20;

/** Polls a condition until it holds; rejects after `limitMs`. */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean> | boolean,
  limitMs = 30_000,
): Promise<void> {
  const deadline = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error(`timed out waiting for ${what}`);
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
