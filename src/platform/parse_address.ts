interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses an address of the form `HOST:PORT`. */
export function parseAddress(address: string): Address {
  const at = address.lastIndexOf(':');
  return {host: address.slice(0, at), port: Number(address.slice(at + 1))};
}
