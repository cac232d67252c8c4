import {LogFollowerSettings} from '@cardamomfield/log-follower';
import {z} from 'zod';

const MILLISECONDS_PER_DAY = 86_400_000;

/** Settings of the journal; all have defaults. */
export const JournalSettings = z.strictObject({
  /**
   * Time from an intent to the expiry of its entry. It must be the same in all
   * processes, and no request may have a deadline after the expiry.
   */
  expiryMilliseconds: z.int().positive().default(MILLISECONDS_PER_DAY),
  /**
   * Nine processes at 20 appends a second use 180 of the several hundred that
   * the log accepts.
   */
  appendsPerSecond: z.number().positive().default(20),
  recordsPerAppend: z.int().positive().default(1_000),
  /** Limit on the length of one batch as JSON, before compression. */
  charactersPerAppend: z.int().positive().default(262_144),
  /** Time limit for an append, including finding out its outcome. */
  appendMilliseconds: z.number().positive().default(5_000),
  /** Allowed skew between this host's wall clock and the log's. */
  clockSkewMilliseconds: z.number().nonnegative().default(500),
  follower: LogFollowerSettings.partial().default({}),
});
export type JournalSettings = z.infer<typeof JournalSettings>;
