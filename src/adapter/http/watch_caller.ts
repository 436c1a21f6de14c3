import type {ServerResponse} from 'node:http';

/** Returns a function that tells whether the caller still waits for a response. */
export function watchCaller(res: ServerResponse): () => boolean {
  let isWaiting = true;
  res.once('close', () => {
    isWaiting = false;
  });
  return () => isWaiting;
}
