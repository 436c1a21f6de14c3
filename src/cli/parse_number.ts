import {InvalidArgumentError} from 'commander';

/** Returns an option parser that accepts numbers of at least `min`. */
export function parseNumber(min: number): (text: string) => number {
  return text => {
    const value = text.trim() === '' ? Number.NaN : Number(text);
    if (Number.isFinite(value) && value >= min) return value;
    throw new InvalidArgumentError(`expected a number of at least ${min}`);
  };
}
