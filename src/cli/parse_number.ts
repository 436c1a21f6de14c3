import {InvalidArgumentError} from 'commander';

/** Parser of an option that takes a number from `min` up. */
export function parseNumber(min: number): (text: string) => number {
  return text => {
    const value = text.trim() === '' ? Number.NaN : Number(text);
    if (Number.isFinite(value) && value >= min) return value;
    throw new InvalidArgumentError(`expected a number from ${min} up`);
  };
}
