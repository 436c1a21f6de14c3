const ID_PATTERN = /^[0-9a-f]{16}$/;

interface JobPath {
  readonly path: string;
  /** The job's id, which ends the path; undefined if the path has none. */
  readonly id: string | undefined;
}

/** Splits the path of a request about a queue or one of its jobs. */
export function parseJobPath(url: string): JobPath {
  const path = url.split('?')[0]!;
  const last = path.slice(path.lastIndexOf('/') + 1);
  return {path, id: ID_PATTERN.test(last) ? last : undefined};
}
