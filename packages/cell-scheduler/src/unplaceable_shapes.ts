import type {StepState} from './step_state.js';

interface Shape {
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
}

/**
 * Task sizes that fit on no worker of a service, within one pass. Capacity only
 * shrinks during a pass, so tasks of at least that size do not fit either.
 *
 * This matters for a backlog of many similar tasks in a full cell. Without it
 * the cost of a pass is tasks times workers, and an owner that falls behind
 * never catches up.
 */
export class UnplaceableShapes {
  private readonly byService = new Map<string, Shape[]>();

  private constructor() {}

  static create(): UnplaceableShapes {
    return new UnplaceableShapes();
  }

  /** Records that a task of the step fits on no worker of its service. */
  add(step: StepState): void {
    const {service} = step.submission.queue;
    const known = this.byService.get(service) ?? [];
    this.byService.set(service, [...known, shapeOf(step)]);
  }

  /** True when a task of the step is known to fit on no worker. */
  covers(step: StepState): boolean {
    const shapes = this.byService.get(step.submission.queue.service);
    if (!shapes) return false;
    const shape = shapeOf(step);
    return shapes.some(
      unplaceable =>
        shape.milliCores >= unplaceable.milliCores &&
        shape.memoryMegabytes >= unplaceable.memoryMegabytes &&
        shape.accelerators >= unplaceable.accelerators,
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
