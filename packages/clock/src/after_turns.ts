/**
 * Resolves after a number of turns of the event loop, each of which reads all
 * sockets.
 */
export async function afterTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
