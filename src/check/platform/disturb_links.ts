import type {TcpRelay} from '../../../test-support/relay/tcp_relay.js';

/** The two connections between a disturbed process and another one. */
interface LinkPair {
  readonly outgoing: TcpRelay;
  readonly incoming: TcpRelay;
}

/** Disturbs links by a kind of fault; the result ends what does not end itself. */
export function disturbLinks(
  links: readonly LinkPair[],
  kind: string,
  direction: 'in' | 'out' | 'both',
): () => void {
  for (const {outgoing, incoming} of links) {
    if (kind === 'reset') for (const l of [outgoing, incoming]) l.reset();
    else if (kind === 'silence') outgoing.silence('both');
    else if (direction === 'both') {
      for (const l of [outgoing, incoming]) l.hold('both');
    } else {
      outgoing.hold(direction === 'out' ? 'to_target' : 'to_client');
      incoming.hold(direction === 'out' ? 'to_client' : 'to_target');
    }
  }
  return () => {
    if (!kind.startsWith('cut')) return;
    for (const {outgoing, incoming} of links) {
      outgoing.restore();
      incoming.restore();
    }
  };
}
