/** Message between two in-memory hosts; bodies are JSON text. */
export type MemoryMessage =
  | {kind: 'call'; id: number; method: string; body: string}
  | {kind: 'answer'; id: number; body: string}
  | {kind: 'heartbeat'; body: string}
  | {kind: 'close'};
