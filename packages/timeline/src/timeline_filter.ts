/** Selects events; an absent property matches every event. */
export interface TimelineFilter {
  /** Value of the field `key`. */
  request?: string;
  /** Value of the field `worker`. */
  worker?: string;
  /** Process that recorded the event. */
  process?: string;
  /** Value of the field `group`. */
  group?: string;
  /** The whole kind or its first dotted parts, for example `task`. */
  kind?: string;
}
