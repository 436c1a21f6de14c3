import {assert} from 'chai';
import * as fc from 'fast-check';
import {DocumentRun} from './document_run.js';
import {DocumentScenario} from './document_scenario.js';

const SEED = 1;
const RUNS = 40;

function findViolations(arbitrary: fc.Arbitrary<DocumentScenario>): string[] {
  const scenarios = fc.sample(arbitrary, {seed: SEED, numRuns: RUNS});
  return scenarios.flatMap((scenario, index) => {
    const run = new DocumentRun(scenario);
    run.run();
    return run.history.violations.map(v => `history ${index}: ${v}`);
  });
}

// Losses within the tolerance must leave documents readable and in force in time.
test('generated histories of documents keep the rules of the configuration', () => {
  const found = findViolations(DocumentScenario.withoutHoldUps);
  assert.isEmpty(found, found.join('\n'));
});

// Frozen and slowed machines and lost messages must not lose documents, nor the
// majority of the log with the next lost disks.
test('generated histories with held-up nodes and lost messages keep the rules', () => {
  const found = findViolations(DocumentScenario.arbitrary);
  assert.isEmpty(found, found.join('\n'));
});
