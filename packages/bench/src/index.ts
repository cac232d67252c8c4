/** Measurements of decisions, waiting time, packing and control cost. A development tool. */
export {};
