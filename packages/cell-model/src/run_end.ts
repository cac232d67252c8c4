/** How a run ended. */
type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** One ended run as its worker lists it. */
export interface RunEnd {
  /** Counts the ends of this life of the worker, from 1. */
  number: number;
  taskName: string;
  attempt: number;
  kind: EndKind;
  checkpoint: string;
}
