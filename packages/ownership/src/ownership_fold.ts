import type {StreamFold} from '@cardamomfield/log-follower';
import {VotersView} from '@cardamomfield/peer-protocol';
import type {LogRecord} from '@cardamomfield/platform';
import {z} from 'zod';
import {GroupClaim} from './group_claim.js';
import {OwnershipRecord} from './ownership_record.js';
import type {OwnershipState} from './ownership_state.js';

const Snapshot = z.strictObject({
  voters: VotersView,
  claims: z.array(GroupClaim),
});

type RecordOf<Kind> = Extract<OwnershipRecord, {kind: Kind}>;

/** Offset that stands for a record that does not exist yet. */
const NONE = -1;

/** Folds the records of stream `ownership` into the voters and claims. */
export class OwnershipFold implements StreamFold<OwnershipState> {
  private constructor() {}

  static create(): OwnershipFold {
    return new OwnershipFold();
  }

  initial(): OwnershipState {
    return {
      voters: {offset: NONE, version: NONE, members: [], pending: null},
      claims: new Map(),
    };
  }

  apply(state: OwnershipState, record: LogRecord): OwnershipState {
    const parsed = OwnershipRecord.safeParse(record.body);
    if (!parsed.success) return state;
    const body = parsed.data;
    switch (body.kind) {
      case 'voters-proposed':
        return applyProposal(state, record.offset, body);
      case 'voters-confirmed':
        return applyConfirmation(state, record.offset, body);
      case 'voters-reset':
        return withConfirmed(state, record.offset, body.members);
      case 'claim':
        return applyClaim(state, record.offset, body);
      case 'release':
        return applyRelease(state, body);
    }
  }

  toSnapshot(state: OwnershipState): unknown {
    return {voters: state.voters, claims: [...state.claims.values()]};
  }

  fromSnapshot(snapshot: unknown): OwnershipState | undefined {
    const parsed = Snapshot.safeParse(snapshot);
    if (!parsed.success) return undefined;
    const claims = parsed.data.claims.map(
      claim => [claim.group, claim] as const,
    );
    return {voters: parsed.data.voters, claims: new Map(claims)};
  }
}

function sortedNames(names: readonly string[]): string[] {
  return [...new Set(names)].sort();
}

function withConfirmed(
  state: OwnershipState,
  offset: number,
  members: readonly string[],
): OwnershipState {
  const voters = {
    offset,
    version: offset,
    members: sortedNames(members),
    pending: null,
  };
  return {...state, voters};
}

/** Whether exactly one host was added or removed. */
function differsByOne(before: readonly string[], after: readonly string[]) {
  const added = after.filter(name => !before.includes(name));
  const removed = before.filter(name => !after.includes(name));
  return added.length + removed.length === 1;
}

function applyProposal(
  state: OwnershipState,
  offset: number,
  body: RecordOf<'voters-proposed'>,
): OwnershipState {
  const {voters} = state;
  if (body.base !== voters.version || voters.pending) return state;
  if (voters.version === NONE) {
    return withConfirmed(state, offset, body.members);
  }
  const pending = sortedNames(body.members);
  if (!differsByOne(voters.members, pending)) return state;
  return {...state, voters: {...voters, offset, pending}};
}

function applyConfirmation(
  state: OwnershipState,
  offset: number,
  body: RecordOf<'voters-confirmed'>,
): OwnershipState {
  const {voters} = state;
  // A pending proposal is always the last voters record.
  if (!voters.pending || body.proposal !== voters.offset) return state;
  return withConfirmed(state, offset, voters.pending);
}

function applyClaim(
  state: OwnershipState,
  offset: number,
  body: RecordOf<'claim'>,
): OwnershipState {
  const claims = new Map(state.claims);
  for (const {group, replaces, deputy} of body.groups) {
    // Checked against the state before the record, so a group that the record
    // lists twice can't replace its own claim.
    const current = state.claims.get(group);
    if ((current?.epoch ?? NONE) !== replaces) continue;
    claims.set(group, {
      group,
      epoch: offset,
      process: body.process,
      incarnation: body.incarnation,
      deputy,
      isImmediate: !current || current.released !== null,
      released: null,
    });
  }
  return {...state, claims};
}

function applyRelease(
  state: OwnershipState,
  body: RecordOf<'release'>,
): OwnershipState {
  const claims = new Map(state.claims);
  for (const {group, epoch, successor} of body.groups) {
    const current = state.claims.get(group);
    const isOwn =
      current?.epoch === epoch &&
      current.process === body.process &&
      current.incarnation === body.incarnation;
    if (isOwn && !current.released) {
      claims.set(group, {...current, released: {successor}});
    }
  }
  return {...state, claims};
}
