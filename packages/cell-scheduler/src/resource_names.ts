/** The resources that limits and shares are counted in. */
export const RESOURCE_NAMES = [
  'milliCores',
  'memoryMegabytes',
  'accelerators',
] as const;
