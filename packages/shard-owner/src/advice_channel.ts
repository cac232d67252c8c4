import type {Adviser} from '@cardamomfield/cell-model';

/** One host that asks the advice service on behalf of the owner. */
export interface AdviceChannel {
  hostName: string;
  adviser: Adviser;
}
