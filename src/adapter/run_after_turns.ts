/**
 * Runs `task` between two turns of the event loop, once `turns` times sockets have been
 * read and closed connections have been reported, which comes after the immediates.
 */
export function runAfterTurns(turns: number, task: () => void): void {
  let passed = 0;
  const countTurn = () => {
    passed += 1;
    if (passed < turns) setImmediate(countTurn);
  };
  setImmediate(countTurn);
  const runIfPassed = () => {
    if (passed < turns) setTimeout(runIfPassed, 0);
    else task();
  };
  // Timers run between the report of closed connections and the next reading.
  setTimeout(runIfPassed, 0);
}
