/** Demonstrates the whole system on loopback. A development tool. */
export * from './demo.js';
