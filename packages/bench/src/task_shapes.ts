import type {RandomSource} from '@cardamomfield/clock';
import type {ResourceVector} from '@cardamomfield/types';

const GIGABYTE = 2 ** 30;

/** A class of tasks, with bounds of the resources that they need. */
interface Shape {
  name: string;
  /** Share of all tasks. */
  share: number;
  processors: [number, number];
  gigabytes: [number, number];
  accelerators: number;
}

const SHAPES: Shape[] = [
  {
    name: 'processor',
    share: 0.3,
    processors: [3, 9],
    gigabytes: [2, 8],
    accelerators: 0,
  },
  {
    name: 'memory',
    share: 0.25,
    processors: [1, 2],
    gigabytes: [12, 36],
    accelerators: 0,
  },
  {
    name: 'even',
    share: 0.2,
    processors: [2, 5],
    gigabytes: [8, 20],
    accelerators: 0,
  },
  {
    name: 'small',
    share: 0.2,
    processors: [0.3, 1],
    gigabytes: [0.5, 2],
    accelerators: 0,
  },
  {
    name: 'accelerator',
    share: 0.05,
    processors: [2, 4],
    gigabytes: [8, 24],
    accelerators: 1,
  },
];

/** Draws the resource needs of the tasks of a mixed workload at random. */
export class TaskShapes {
  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): TaskShapes {
    return new TaskShapes(random);
  }

  draw(): {shape: string; need: ResourceVector} {
    let point = this.random.fraction();
    const shape = SHAPES.find(s => (point -= s.share) < 0) ?? SHAPES[0]!;
    return {
      shape: shape.name,
      need: {
        processorMillicores: Math.round(
          this.drawBetween(shape.processors) * 1_000,
        ),
        memoryBytes: Math.round(this.drawBetween(shape.gigabytes) * GIGABYTE),
        accelerators: shape.accelerators,
        slots: 1,
        connections: 1,
      },
    };
  }

  private drawBetween([least, most]: [number, number]): number {
    return least + this.random.fraction() * (most - least);
  }
}
