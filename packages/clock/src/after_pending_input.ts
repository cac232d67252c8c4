import {afterTurns} from './after_turns.js';

/** Turns of the event loop that it takes to read an answer's head and body. */
const READ_TURNS = 2;

/**
 * Resolves once the event loop has read the data that had already arrived.
 * After a pause of the process, timers fire before sockets are read, so a time
 * limit can expire although the answer has arrived.
 */
export function afterPendingInput(): Promise<void> {
  return afterTurns(READ_TURNS);
}
