import {assert} from 'chai';
import {recordedTelemetry} from '../../../test-support/fakes/pool/recorded_telemetry.js';
import {ConfigOrigin} from '../../core/config/config_origin.js';
import {ReplicatedConfigSource} from '../../core/config/follower/replicated_config_source.js';
import {ConfigTelemetry} from './config_telemetry.js';

// Without this, logs do not tell a late configuration from one that never came.
test('each configuration is logged when it comes into force, with its origin', async () => {
  const {telemetry, lines} = recordedTelemetry();
  const source = new ReplicatedConfigSource();
  const configTelemetry = new ConfigTelemetry(source, telemetry);
  configTelemetry.recordStored();
  assert.isEmpty(lines());
  const document = {revision: 7, content: '{}'};
  const config = {version: 3, classes: {}, tenants: {}, document};
  source.applyIfNewer('log', config, ConfigOrigin.push);
  const fields = {message: 'config_in_force', version: 3, revision: 7};
  assert.deepInclude(lines()[0], {...fields, origin: 'push'});
  configTelemetry.recordStored();
  assert.deepInclude(lines()[1], {...fields, origin: 'disk'});
  const metrics = await telemetry.registry.metrics();
  assert.include(metrics, 'pimentoyoke_config_version 3');
  assert.include(metrics, 'pimentoyoke_config_revision 7');
});
