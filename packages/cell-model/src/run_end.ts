/** How a run ended. */
type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** One ended run, as its worker reports it. */
export interface RunEnd {
  /** Number of the end within the worker's incarnation, counted from 1. */
  number: number;
  taskName: string;
  attempt: number;
  kind: EndKind;
  checkpoint: string;
}
