/**
 * A job key as it stands in a path. `checkRequest` has refused bad encodings
 * before; `~` may come encoded.
 */
export function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}
