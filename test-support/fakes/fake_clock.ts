export {SteppedClock as FakeClock} from '../../src/core/clock/stepped_clock.js';
