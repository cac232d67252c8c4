/** A message on its way between two hosts in memory; bodies are JSON text. */
export type MemoryMessage =
  | {kind: 'call'; id: number; method: string; body: string}
  | {kind: 'answer'; id: number; body: string}
  | {kind: 'heartbeat'; body: string}
  | {kind: 'close'};
