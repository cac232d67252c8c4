import type {Clock} from '@cardamomfield/clock';
import type {EntrySettings} from '@cardamomfield/settings';

/** Facilities of the process that the subcommands use. */
export interface CommandContext {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  /** Aborts when the operator interrupts the command. */
  readonly signal: AbortSignal;
  /** Writes a line to standard output. */
  writeLine(line: string): void;
  /** Writes a line to standard error. */
  writeErrorLine(line: string): void;
  readFile(path: string): Promise<string>;
  /** Creates a unique name for a request or a publication. */
  createKey(): string;
  /** Runs the daemon until it has shut down. */
  runEntryHost(settings: EntrySettings): Promise<void>;
}
