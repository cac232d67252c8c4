import type {Logger} from './logger.js';

/** Drops every line; for tests and for embedding without logs. */
export class SilentLogger implements Logger {
  private constructor() {}

  static create(): SilentLogger {
    return new SilentLogger();
  }

  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}

  child(): Logger {
    return this;
  }
}
