import type {ServiceBacklog} from './service_backlog.js';

/** What a service has to do and how fast it does it. */
export interface ServiceLoad {
  backlog: ServiceBacklog;
  /** Rate of ended work of all priorities, in millicores. */
  rateMilliCores: number;
  /** The part of it that is more urgent than the submission. */
  urgentRateMilliCores: number;
  /** The weight of a team, also in the shares of the capacity. */
  weightOf: (team: string) => number;
}
