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
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const byte = text[index]!;
    if (isInString) {
      if (byte === BACKSLASH) index += 1;
      else if (byte === QUOTE) isInString = false;
    } else if (byte === QUOTE) {
      isInString = true;
    } else if (OPENERS.has(byte)) {
      depth += 1;
      if (depth > max) return true;
    } else if (CLOSERS.has(byte)) {
      depth -= 1;
    }
  }
  return false;
}
