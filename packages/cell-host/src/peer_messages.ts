import {
  CallerIdentity,
  Decision,
  DesiredState,
  HostRecord,
  OwnerRecord,
  Queue,
  SubmissionSpecification,
  SubmissionState,
} from '@cardamomfield/cell-model';
import {PlacementQuestion} from '@cardamomfield/cell-scheduler';
import {PlacementAnswer} from '@cardamomfield/shard-owner';
import {z} from 'zod';

/** Serves logs only, so an answer with one of another form is still an answer. */
const StatedDecision = Decision.optional().catch(undefined);

const Ping = z.object({
  desiredStateVersion: z.number().optional(),
  /** Of the calling host. */
  address: z.string().optional(),
});

/** Parameters and results of the calls between hosts, by method. */
export const PeerMessages = {
  /**
   * Of a ping and a question about the owner. The called host gets a newer
   * desired state from the caller, since an owner asks no host for one. Hosts
   * of earlier versions state neither.
   */
  ping: Ping,
  /** Of an owner to the hosts that would replace it. */
  heartbeat: Ping.extend({epoch: z.number(), isLogDown: z.boolean()}),
  pingResult: z.object({
    isOwner: z.boolean(),
    epoch: z.number(),
    /** Whether the owner's appends to the log have failed for some time. */
    isLogDown: z.boolean(),
    desiredStateVersion: z.number(),
    /** The newest owner known to the called host. */
    owner: OwnerRecord.optional(),
    /** Of the called process. Earlier versions do not state it. */
    incarnation: z.string().optional(),
    /** Epochs that the called process owned and does not own any more. */
    endedOwnerships: z
      .array(
        z.object({epoch: z.number(), lastGrantMillisecondsAgo: z.number()}),
      )
      .optional(),
  }),
  ownerContactResult: z.object({
    epoch: z.number(),
    /** Milliseconds since the owner last answered the called host. */
    heardMillisecondsAgo: z.number(),
    desiredStateVersion: z.number(),
    /** The newest owner known to the called host. */
    owner: OwnerRecord.optional(),
  }),
  ownerUpdate: z.object({owner: OwnerRecord}),
  /** Asks a host to take over the shard; `owner` is known to the caller. */
  takeOver: z.object({owner: OwnerRecord.optional()}),
  submit: z.object({
    id: z.string(),
    queue: Queue,
    specification: SubmissionSpecification,
    /** Hosts of earlier versions do not state the caller. */
    caller: CallerIdentity.optional(),
  }),
  submissionId: z.object({
    id: z.string(),
    caller: CallerIdentity.optional(),
  }),
  /** Hosts of earlier versions do not state the decision. */
  decidedResult: z.object({decision: StatedDecision}),
  showResult: z.object({
    state: SubmissionState,
    decision: StatedDecision,
  }),
  queueName: z.object({
    queueName: z.string(),
    caller: CallerIdentity.optional(),
  }),
  countResult: z.object({
    count: z.number().int(),
    /** The owner's. Missing before its first, and from earlier versions. */
    desiredStateVersion: z.number().optional(),
  }),
  explain: z.object({question: PlacementQuestion}),
  explainResult: PlacementAnswer,
  adviceQuery: z.object({
    stepName: z.string(),
    workerIds: z.array(z.string()),
    timeoutMilliseconds: z.number(),
  }),
  adviceResult: z.object({
    tickets: z.array(z.tuple([z.string(), z.string()])),
    validMilliseconds: z.number(),
  }),
  introduce: z.object({host: HostRecord, owner: OwnerRecord.optional()}),
  introduceResult: z.object({
    hosts: z.array(HostRecord),
    owner: OwnerRecord.optional(),
    desiredState: DesiredState.optional(),
  }),
  relay: z.object({request: z.string(), timeoutMilliseconds: z.number()}),
  relayResult: z.object({response: z.string()}),
  empty: z.object({}),
};
