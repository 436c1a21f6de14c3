import type {OperatorRun} from './operator_run.js';

/** Prints what was checked, the violations, and where the logs are. */
export function printOperatorRun(run: OperatorRun, title: string): void {
  const {history, disruptions, prober, deployment, faults} = run;
  const {violations, sent, observations, checked} = history;
  const acknowledged = sent.filter(({ackedAt}) => isFinite(ackedAt)).length;
  const statuses = [...prober.statuses].map(([name, n]) => `${name} ${n}`);
  console.log(
    `${title}: ${violations.length} violations, ` +
      `${disruptions.disruptions.length} disruptions, ` +
      `${acknowledged} of ${sent.length} versions acknowledged, ` +
      `${observations} observations, ${checked} under a bound; ` +
      `replies: ${statuses.join(', ')}`,
  );
  const {deck, played, final} = faults;
  const counts = deck.kinds.map(
    kind => `${kind} ${played.get(kind) ?? 0}/${deck.dealt.get(kind) ?? 0}`,
  );
  console.log(`faults played/dealt: ${counts.join(', ')}; final: ${final}`);
  const missing = deck.kinds.filter(kind => !played.has(kind));
  if (missing.length > 0) console.log(`not played: ${missing.join(', ')}`);
  const {invalidAcknowledged, invalidInForce} = history;
  if (invalidAcknowledged.size + invalidInForce.size > 0) {
    const kinds = [...invalidAcknowledged].map(([kind, n]) => `${kind} ${n}`);
    console.log(`INVALID: acknowledged: ${kinds.join(', ')}`);
    console.log(`INVALID: read back: ${[...invalidInForce].join(', ')}`);
  }
  for (const violation of violations.slice(0, 40)) console.log(violation);
  if (violations.length > 0) console.log(`logs: ${deployment.dir}`);
}
