import type {Adviser} from '@cardamomfield/cell-model';

/** A host that sends queries to the advice service on the owner's behalf. */
export interface AdviceChannel {
  hostName: string;
  adviser: Adviser;
}
