import type {ResourceVector} from '@cardamomfield/types';

/** What a worker group offers, as the summaries of its owner tell. */
export interface GroupOffer {
  name: string;
  free: ResourceVector;
  largestFree: ResourceVector;
}
