import type {PeerFrame} from './peer_frame.js';

/** A message kind can contain a zone name, which has up to 63 characters. */
const MAX_NAME_LENGTH = 128;
const MAX_DETAIL_LENGTH = 4_096;

/**
 * Whether a decoded value is a frame. Written by hand, as a generic validator
 * took more processor time than the rest of the decoding.
 */
export function isPeerFrame(value: unknown): value is PeerFrame {
  if (typeof value !== 'object' || value === null) return false;
  const frame = value as Readonly<Record<string, unknown>>;
  switch (frame['type']) {
    case 'ping':
    case 'pong':
      return true;
    case 'hello':
      return isText(frame['node'], MAX_NAME_LENGTH);
    case 'message':
      return isText(frame['kind'], MAX_NAME_LENGTH);
    case 'request':
      return isId(frame['id']) && isText(frame['method'], MAX_NAME_LENGTH);
    case 'response':
      return isId(frame['id']);
    case 'failure':
      return isId(frame['id']) && isText(frame['detail'], MAX_DETAIL_LENGTH);
    default:
      return false;
  }
}

function isText(value: unknown, maxLength: number): boolean {
  return typeof value === 'string' && value.length <= maxLength;
}

function isId(value: unknown): boolean {
  return Number.isInteger(value);
}
