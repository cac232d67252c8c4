import {StepSpecification} from '@cardamomfield/cell-model';
import {z} from 'zod';

const DEFAULTS: Omit<StepSpecification, 'taskCount'> = {
  milliCores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
  estimatedMilliseconds: 0,
  dependsOn: [],
  isGang: false,
  isTightlyCoupled: false,
  requiredLabel: '',
  dataRack: '',
  maximumPerWorker: 0,
  savesCheckpoints: false,
  allowsCopies: false,
  isService: false,
  image: '',
  tailTargetMilliseconds: 0,
  usesSpareCapacity: false,
  maximumUnavailable: 0,
};

/** A step without the fields that have their default values. */
export const CompactStep = z.codec(
  z.looseObject({taskCount: z.number()}),
  StepSpecification,
  {
    decode: fields => ({...DEFAULTS, ...fields}),
    encode: step => {
      const defaults: Record<string, unknown> = DEFAULTS;
      const entries = Object.entries(step).filter(
        ([name, value]) => String(value) !== String(defaults[name]),
      );
      return {...Object.fromEntries(entries), taskCount: step.taskCount};
    },
  },
);
