/** Ends sleeps early. Any `AbortSignal` is one. */
export interface SleepSignal {
  readonly aborted: boolean;
  addEventListener(type: 'abort', listener: () => void): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}
