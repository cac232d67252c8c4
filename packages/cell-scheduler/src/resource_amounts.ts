/** Amounts of the resources that tasks hold and that limits name. */
export interface ResourceAmounts {
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
}
