/**
 * Decodes a path segment, in which a client may have percent-encoded the `~` of
 * a job key. `checkRequest` has already refused invalid encodings.
 */
export function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}
