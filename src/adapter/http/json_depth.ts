const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENERS = new Set([0x5b, 0x7b]);
const CLOSERS = new Set([0x5d, 0x7d]);

/**
 * Whether JSON text has more than `max` open brackets at some point outside
 * strings. It runs before the parse, because parsed values of any depth cost
 * memory far beyond the size of the text.
 */
export function isNestedDeeperThan(text: Uint8Array, max: number): boolean {
  let depth = 0;
  let isString = false;
  for (let at = 0; at < text.length; at += 1) {
    const byte = text[at]!;
    if (isString) {
      if (byte === BACKSLASH) at += 1;
      else if (byte === QUOTE) isString = false;
    } else if (byte === QUOTE) {
      isString = true;
    } else if (OPENERS.has(byte)) {
      depth += 1;
      if (depth > max) return true;
    } else if (CLOSERS.has(byte)) {
      depth -= 1;
    }
  }
  return false;
}
