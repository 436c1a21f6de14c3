/** Report of a worker, for tests of what becomes of reports. */
export const POOL_WORKER_REPORT = {
  id: 'w',
  bornAt: 5,
  service: 's',
  address: 'w:1',
  zone: 'z',
  isDraining: false,
  capacity: {cpu: 1, memoryMb: 1, accelerators: 0},
  labels: [],
  sequence: 1,
};
