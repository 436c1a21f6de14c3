/**
 * SIGHUP ends a process that does not handle it. Loaded before all other modules,
 * which take most of the start, so that the signal is kept for the handler that
 * reloads the settings.
 */
process.on('SIGHUP', () => undefined);
