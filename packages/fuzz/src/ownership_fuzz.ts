import type {OwnershipFault} from './ownership/ownership_fault.js';
import {OwnershipFuzzCase} from './ownership/ownership_fuzz_case.js';

interface OwnershipFuzzOptions {
  /** First seed; the runs take the ones that follow. */
  seed: number;
  runs: number;
  /** Receives progress and the trace of a failure. */
  print?: (line: string) => void;
  /** Whether the list of faults of a failed run is made smaller. */
  isShrinking?: boolean;
  /** Faulty collaborators, to show that a fault is found. */
  weakening?: Parameters<typeof OwnershipFuzzCase.create>[1];
}

interface OwnershipFuzzResult {
  failedSeed: number | undefined;
  violation: string | undefined;
  /** A small list of faults that still fails. */
  trace: readonly OwnershipFault[];
}

const PROGRESS_INTERVAL = 100;

/** Runs random cases until one fails, and then shrinks its list of faults. */
export async function runOwnershipFuzz(
  options: OwnershipFuzzOptions,
): Promise<OwnershipFuzzResult> {
  const print = options.print ?? console.log;
  for (let run = 0; run < options.runs; run++) {
    const seed = options.seed + run;
    const fuzzCase = OwnershipFuzzCase.create(seed, options.weakening);
    const violation = await fuzzCase.run();
    if (violation) {
      print(`seed ${seed}: ${violation}`);
      const isShrinking = options.isShrinking ?? true;
      const trace = isShrinking ? await shrink(fuzzCase) : fuzzCase.faults;
      if (isShrinking) for (const fault of trace) print(JSON.stringify(fault));
      return {failedSeed: seed, violation, trace};
    }
    if ((run + 1) % PROGRESS_INTERVAL === 0) print(`${run + 1} runs passed`);
  }
  return {failedSeed: undefined, violation: undefined, trace: []};
}

/** Removes ever smaller parts of the list as long as the run still fails. */
async function shrink(
  fuzzCase: OwnershipFuzzCase,
): Promise<readonly OwnershipFault[]> {
  let faults = fuzzCase.faults;
  for (let size = faults.length >> 1; size >= 1; size >>= 1) {
    for (let start = 0; start < faults.length;) {
      const fewer = faults.filter(
        (_, index) => index < start || index >= start + size,
      );
      if (await fuzzCase.run(fewer)) faults = fewer;
      else start += size;
    }
  }
  return faults;
}
