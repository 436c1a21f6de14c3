import {Measurement} from '../measurement.js';
/** x */
export class ThroughputMeasurement extends Measurement {
  override readonly name = 'throughput';
  override readonly description = '';
  override async run(): Promise<object> {
    return {};
  }
}
