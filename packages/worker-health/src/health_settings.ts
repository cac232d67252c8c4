import {z} from 'zod';

const period = z.number().positive();
const share = z.number().min(0).max(1);
const count = z.int().positive();

/** Settings for the ejection of workers and their return to service. */
export const HealthSettings = z.strictObject({
  /** Number of latest outcomes evaluated for each worker and service. */
  windowSamples: count.default(20),
  windowMilliseconds: period.default(60_000),
  /** Smallest number of outcomes that can eject a worker. */
  minimumSamples: count.default(5),
  /** Failure ratio at or above which a worker is ejected. */
  failureRatio: share.default(0.5),
  /** Largest share of workers that may be ejected or probed simultaneously. */
  maximumEjectedShare: share.default(1 / 3),
  /**
   * A service is at fault if it fails on more than this share of the workers
   * that have run it recently.
   */
  serviceFaultShare: share.default(0.5),
  firstEjectionMilliseconds: period.default(5_000),
  maximumEjectionMilliseconds: period.default(300_000),
  /**
   * Time without an ejection after which one earlier ejection no longer
   * lengthens the next.
   */
  forgivenessMilliseconds: period.default(60_000),
  /**
   * Probes that must succeed before slow start begins. A failed probe ejects
   * the worker again, unless its service is at fault.
   */
  probes: count.default(3),
  /** Time after which a probe without an outcome may be replaced by another. */
  probeMilliseconds: period.default(10_000),
  slowStartMilliseconds: period.default(10_000),
});
export type HealthSettings = z.infer<typeof HealthSettings>;
