const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKETS = new Set([0x5b, 0x7b]);
const CLOSING_BRACKETS = new Set([0x5d, 0x7d]);

/**
 * Returns whether JSON text is nested more than `max` levels deep; brackets
 * inside strings do not count. Runs before parsing, because parsed values of
 * unlimited depth take far more memory than the text.
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
    } else if (OPENING_BRACKETS.has(byte)) {
      depth += 1;
      if (depth > max) return true;
    } else if (CLOSING_BRACKETS.has(byte)) {
      depth -= 1;
    }
  }
  return false;
}
