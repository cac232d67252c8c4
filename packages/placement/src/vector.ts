/** Amounts of every resource, in the order of `RESOURCE_NAMES`. */
export type Vector = number[];
