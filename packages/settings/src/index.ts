/** Flags and environment variables read into one checked schema. */
export {};
