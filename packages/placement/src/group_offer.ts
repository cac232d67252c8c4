import type {ResourceVector} from '@cardamomfield/types';

/** Free capacity of a worker group according to its owner's summary. */
export interface GroupOffer {
  name: string;
  free: ResourceVector;
  largestFree: ResourceVector;
}
