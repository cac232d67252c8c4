import {Name} from '@cardamomfield/types';
import {z} from 'zod';

/** Epoch or version on which a record is based; -1 if there is none yet. */
const Base = z.int().min(-1);

const VotersProposed = z.strictObject({
  kind: z.literal('voters-proposed'),
  /** Version of the voters that the proposal changes. */
  base: Base,
  members: z.array(Name).min(1),
  process: Name,
});

const VotersConfirmed = z.strictObject({
  kind: z.literal('voters-confirmed'),
  /** Offset of the pending proposal. */
  proposal: z.int().nonnegative(),
});

const VotersReset = z.strictObject({
  kind: z.literal('voters-reset'),
  members: z.array(Name).min(1),
  editor: z.string(),
});

const Claim = z.strictObject({
  kind: z.literal('claim'),
  process: Name,
  incarnation: z.string(),
  groups: z.array(
    z.strictObject({
      group: Name,
      /** Epoch that the claim replaces. */
      replaces: Base,
      deputy: Name.nullable(),
    }),
  ),
});

const Release = z.strictObject({
  kind: z.literal('release'),
  process: Name,
  incarnation: z.string(),
  groups: z.array(
    z.strictObject({
      group: Name,
      epoch: z.int().nonnegative(),
      /** Host that should claim the group next. */
      successor: Name.nullable(),
    }),
  ),
});

/** One record of stream `ownership`. */
export const OwnershipRecord = z.discriminatedUnion('kind', [
  VotersProposed,
  VotersConfirmed,
  VotersReset,
  Claim,
  Release,
]);
export type OwnershipRecord = z.infer<typeof OwnershipRecord>;
