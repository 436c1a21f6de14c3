const POLL_MS = 20;

/** Waits for a condition; rejects when `limitMs` passes first. */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean> | boolean,
  limitMs = 30_000,
): Promise<void> {
  const deadline = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error(`gave up waiting for ${what}`);
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
