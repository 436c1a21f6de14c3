import Emittery from 'emittery';
import {Service} from './service.js';

interface SupervisorEvents {
  started: {readonly service: string};
  stopped: {readonly service: string};
  failed: {readonly service: string; readonly detail: string};
}

/**
 * Starts services in order and stops them in reverse order, so that each service
 * can depend on the ones before it. A supervisor is itself a service, so
 * supervisors can be nested.
 */
export class Supervisor extends Service {
  readonly events = new Emittery<SupervisorEvents>();
  private readonly running: Service[] = [];

  constructor(
    override readonly name: string,
    private readonly children: readonly Service[],
  ) {
    super();
  }

  override async start(): Promise<void> {
    for (const child of this.children) {
      try {
        await child.start();
      } catch (err) {
        await this.report(child, err);
        await this.stop();
        throw err;
      }
      this.running.push(child);
      await this.events.emit('started', {service: child.name});
    }
  }

  /** Stops all services; one that fails to stop is reported and skipped. */
  override async stop(): Promise<void> {
    for (;;) {
      const child = this.running.pop();
      if (!child) return;
      try {
        await child.stop();
        await this.events.emit('stopped', {service: child.name});
      } catch (err) {
        await this.report(child, err);
      }
    }
  }

  private async report(child: Service, err: unknown): Promise<void> {
    const detail = err instanceof Error ? err.message : String(err);
    await this.events.emit('failed', {service: child.name, detail});
  }
}
