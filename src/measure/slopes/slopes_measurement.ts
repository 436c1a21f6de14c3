import {Measurement} from '../measurement.js';
/** x */
export class SlopesMeasurement extends Measurement {
  override readonly name = 'slopes';
  override readonly description = '';
  override async run(): Promise<object> {
    return {};
  }
}
