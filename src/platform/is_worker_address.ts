import {isIPv4} from 'node:net';

const MAX_PORT = 65_535;
/** First octets of "this network", and the first of multicast and reserved. */
const THIS_NETWORK = 0;
const FIRST_MULTICAST = 224;

/** Whether a text is an IPv4 unicast address and a port, as `HOST:PORT`. */
export function isWorkerAddress(text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':');
  if (rest.length > 0 || !isIPv4(host) || !/^\d{1,5}$/.test(port)) return false;
  const firstOctet = Number.parseInt(host, 10);
  if (firstOctet === THIS_NETWORK || firstOctet >= FIRST_MULTICAST) {
    return false;
  }
  return Number(port) >= 1 && Number(port) <= MAX_PORT;
}
