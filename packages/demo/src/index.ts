/** Shows the whole system at work on loopback. A development tool. */
export * from './demo.js';
