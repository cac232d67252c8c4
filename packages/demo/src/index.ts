/** Starts the whole system on loopback and shows it at work. A development tool. */
export {};
