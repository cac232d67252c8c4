import type {OwnershipFault} from './ownership/ownership_fault.js';
import {OwnershipFuzzCase} from './ownership/ownership_fuzz_case.js';

interface OwnershipFuzzOptions {
  /** Seed of the first run; each further run uses the next seed. */
  seed: number;
  runs: number;
  /** Receives progress and the trace of a failure. */
  print?: (line: string) => void;
  /** Whether the list of faults of a failed run is shrunk. */
  isShrinking?: boolean;
  /** Settings and wrappers; tests inject defects that must be detected. */
  overrides?: Parameters<typeof OwnershipFuzzCase.create>[1];
}

interface OwnershipFuzzResult {
  failedSeed: number | undefined;
  violation: string | undefined;
  /** Faults of the failed run; with shrinking, a smaller list that fails. */
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
    const fuzzCase = OwnershipFuzzCase.create(seed, options.overrides);
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

/** Removes ever smaller ranges of the list while the run still fails. */
async function shrink(
  fuzzCase: OwnershipFuzzCase,
): Promise<readonly OwnershipFault[]> {
  let faults = fuzzCase.faults;
  for (let size = faults.length >> 1; size >= 1; size >>= 1) {
    for (let start = 0; start < faults.length;) {
      const reduced = faults.filter(
        (_, index) => index < start || index >= start + size,
      );
      if (await fuzzCase.run(reduced)) faults = reduced;
      else start += size;
    }
  }
  return faults;
}
