import {z} from 'zod';

const period = z.number().positive();
const share = z.number().min(0).max(1);
const count = z.int().positive();

/** When workers are ejected and how they return. */
export const HealthSettings = z.strictObject({
  /** Latest outcomes of a worker and service that are judged. */
  windowSamples: count.default(20),
  windowMilliseconds: period.default(60_000),
  /** Fewer outcomes never eject a worker. */
  minimumSamples: count.default(5),
  /** Share of failures from which on a worker is ejected. */
  failureRatio: share.default(0.5),
  /** Largest share of workers that may be ejected at a time. */
  maximumEjectedShare: share.default(1 / 3),
  /** A service that fails on more than this share of its workers is at fault. */
  serviceFaultShare: share.default(0.5),
  firstEjectionMilliseconds: period.default(5_000),
  maximumEjectionMilliseconds: period.default(300_000),
  /** Time without ejection after which one earlier ejection is forgiven. */
  forgivenessMilliseconds: period.default(60_000),
  /** Probes that must succeed in a row before a worker returns. */
  probes: count.default(3),
  /** Time after which a probe without an outcome may be followed by another. */
  probeMilliseconds: period.default(10_000),
  slowStartMilliseconds: period.default(10_000),
});
export type HealthSettings = z.infer<typeof HealthSettings>;
