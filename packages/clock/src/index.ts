/** Monotonic and wall time, sleeping until a deadline, and seeded randomness, behind interfaces. */
export {};
