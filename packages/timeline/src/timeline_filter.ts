/** Selects events; an absent part selects all. */
export interface TimelineFilter {
  /** Field `key`. */
  request?: string;
  /** Field `worker`. */
  worker?: string;
  /** The process that recorded the event. */
  process?: string;
  /** Field `group`. */
  group?: string;
  /** The kind itself or its first words, for example `task`. */
  kind?: string;
}
