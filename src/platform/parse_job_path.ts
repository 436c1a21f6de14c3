const ID_PATTERN = /^[0-9a-f]{16}$/;

interface JobPath {
  readonly path: string;
  /** Job id in the last segment of the path; undefined if the path has none. */
  readonly id: string | undefined;
}

/**
 * Parses the URL of a request about a queue or one of its jobs. `path` is the URL
 * without its query.
 */
export function parseJobPath(url: string): JobPath {
  const path = url.split('?')[0]!;
  const last = path.slice(path.lastIndexOf('/') + 1);
  return {path, id: ID_PATTERN.test(last) ? last : undefined};
}
