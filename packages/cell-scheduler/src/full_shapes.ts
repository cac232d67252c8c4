import type {StepState} from './step_state.js';

interface Shape {
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
}

/**
 * Task sizes that no worker of a service has room for, within one pass. Room
 * only shrinks during a pass, so what is at least as large does not fit either.
 *
 * Pattern of load: a backlog of many alike tasks in a full cell. Without this a
 * pass costs tasks times workers, and an owner that falls behind stays behind.
 */
export class FullShapes {
  private readonly byService = new Map<string, Shape[]>();

  private constructor() {}

  static create(): FullShapes {
    return new FullShapes();
  }

  /** Notes that a task of the step fits on no worker of its service. */
  note(step: StepState): void {
    const {service} = step.submission.queue;
    const known = this.byService.get(service) ?? [];
    this.byService.set(service, [...known, shapeOf(step)]);
  }

  /** True when a task of the step surely fits on no worker of its service. */
  covers(step: StepState): boolean {
    const shapes = this.byService.get(step.submission.queue.service);
    if (!shapes) return false;
    const shape = shapeOf(step);
    return shapes.some(
      full =>
        shape.milliCores >= full.milliCores &&
        shape.memoryMegabytes >= full.memoryMegabytes &&
        shape.accelerators >= full.accelerators,
    );
  }
}

function shapeOf(step: StepState): Shape {
  const {specification} = step;
  return {
    milliCores: specification.usesSpareCapacity ? 0 : specification.milliCores,
    memoryMegabytes: specification.memoryMegabytes,
    accelerators: specification.accelerators,
  };
}
