import {assert} from 'chai';
import * as fc from 'fast-check';
import {DocumentRun} from './document_run.js';
import {DocumentScenario} from './document_scenario.js';

const SEED = 1;
const RUNS = 40;

// Losses within the tolerance must leave documents readable and in force in time.
test('generated histories of documents keep the rules of the configuration', () => {
  const scenarios = fc.sample(DocumentScenario.arbitrary, {
    seed: SEED,
    numRuns: RUNS,
  });
  const found = scenarios.flatMap((scenario, index) => {
    const run = new DocumentRun(scenario);
    run.run();
    return run.history.violations.map(v => `history ${index}: ${v}`);
  });
  assert.isEmpty(found, found.join('\n'));
});
