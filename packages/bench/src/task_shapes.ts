import type {RandomSource} from '@cardamomfield/clock';
import type {ResourceVector} from '@cardamomfield/types';

const GIGABYTE = 2 ** 30;

/** A kind of task, with bounds of what a task of it needs. */
interface Shape {
  name: string;
  /** Part of all tasks. */
  part: number;
  processors: [number, number];
  gigabytes: [number, number];
  accelerators: number;
}

const SHAPES: Shape[] = [
  {
    name: 'processor',
    part: 0.3,
    processors: [3, 9],
    gigabytes: [2, 8],
    accelerators: 0,
  },
  {
    name: 'memory',
    part: 0.25,
    processors: [1, 2],
    gigabytes: [12, 36],
    accelerators: 0,
  },
  {
    name: 'even',
    part: 0.2,
    processors: [2, 5],
    gigabytes: [8, 20],
    accelerators: 0,
  },
  {
    name: 'small',
    part: 0.2,
    processors: [0.3, 1],
    gigabytes: [0.5, 2],
    accelerators: 0,
  },
  {
    name: 'accelerator',
    part: 0.05,
    processors: [2, 4],
    gigabytes: [8, 24],
    accelerators: 1,
  },
];

/** Draws the needs of tasks of a mixed workload. */
export class TaskShapes {
  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): TaskShapes {
    return new TaskShapes(random);
  }

  draw(): {shape: string; need: ResourceVector} {
    let point = this.random.fraction();
    const shape = SHAPES.find(s => (point -= s.part) < 0) ?? SHAPES[0]!;
    return {
      shape: shape.name,
      need: {
        processorMillicores: Math.round(this.between(shape.processors) * 1_000),
        memoryBytes: Math.round(this.between(shape.gigabytes) * GIGABYTE),
        accelerators: shape.accelerators,
        slots: 1,
        connections: 1,
      },
    };
  }

  private between([least, most]: [number, number]): number {
    return least + this.random.fraction() * (most - least);
  }
}
