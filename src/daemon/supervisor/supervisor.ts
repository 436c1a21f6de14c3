import Emittery from 'emittery';
import {Service} from './service.js';

interface SupervisorEvents {
  started: {readonly service: string};
  stopped: {readonly service: string};
  failed: {readonly service: string; readonly detail: string};
}

/**
 * Starts services in order and stops them in reverse, so that each can rely on
 * the ones before it. A supervisor is a service itself and so forms a tree.
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

  /** A service that fails to stop does not keep the others from stopping. */
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
