/**
 * Development tool that measures decision times, waiting times, packing and the
 * cost of control.
 */
export {};
