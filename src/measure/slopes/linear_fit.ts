/** Least-squares line through points. */
export class LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Standard error of the slope. */
  readonly error: number;

  constructor(points: ReadonlyArray<readonly [number, number]>) {
    const n = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
    let xx = 0;
    let xy = 0;
    for (const [x, y] of points) {
      xx += (x - meanX) ** 2;
      xy += (x - meanX) * (y - meanY);
    }
    this.slope = xy / xx;
    this.intercept = meanY - this.slope * meanX;
    let squaredResiduals = 0;
    for (const [x, y] of points) {
      squaredResiduals += (y - this.intercept - this.slope * x) ** 2;
    }
    this.error = Math.sqrt(squaredResiduals / Math.max(1, n - 2) / xx);
  }
}
