import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {InternalError} from '@cardamomfield/errors';

/** Number of lines of standard error kept for error messages. */
const MAXIMUM_ERROR_LINES = 50;

/** Time-out for a process to exit after SIGTERM. */
const STOP_MILLISECONDS = 15_000;

interface ManagedProcessOptions {
  name: string;
  /** JavaScript file to run. */
  script: string;
  flags: readonly string[];
}

/** Child process that prints a JSON line once it is ready. */
export class ManagedProcess {
  readonly name: string;
  private readonly errorLines: string[] = [];
  private readonly exited: Promise<unknown>;

  private constructor(
    options: ManagedProcessOptions,
    private readonly child: ChildProcess,
  ) {
    this.name = options.name;
    this.exited = once(child, 'exit');
    this.collectErrorLines();
  }

  static create(options: ManagedProcessOptions): ManagedProcess {
    const child = spawn(process.execPath, [options.script, ...options.flags], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new ManagedProcess(options, child);
  }

  /** Returns the first line that the process prints, parsed as JSON. */
  async firstLine(): Promise<Record<string, unknown>> {
    const {stdout} = this.child;
    if (!stdout) throw InternalError.create(`${this.name} has no stdout`);
    const lines = createInterface({input: stdout});
    const line = await Promise.race([
      once(lines, 'line').then(([text]) => text as string),
      this.exited.then(() => undefined),
    ]);
    if (line !== undefined) return JSON.parse(line) as Record<string, unknown>;
    throw InternalError.create(
      `${this.name} exited before it was ready:\n${this.lastErrors()}`,
    );
  }

  /** Process ID; undefined if the process could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Whether the process is still running. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Exit code; null while the process runs or if a signal ended it. */
  exitCode(): number | null {
    return this.child.exitCode;
  }

  /** The last lines that the process wrote to standard error. */
  lastErrors(): string {
    return this.errorLines.join('\n');
  }

  /** Sends a signal, for example SIGKILL, SIGSTOP or SIGCONT. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Sends SIGTERM and waits for the exit; sends SIGKILL after a time-out. */
  async stop(): Promise<void> {
    if (!this.isRunning()) return;
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), STOP_MILLISECONDS);
    await this.exited;
    clearTimeout(timer);
  }

  /** Kills the process immediately and waits until it exits. */
  async kill(): Promise<void> {
    if (!this.isRunning()) return;
    this.signal('SIGKILL');
    await this.exited;
  }

  private collectErrorLines(): void {
    const {stderr} = this.child;
    if (!stderr) return;
    createInterface({input: stderr}).on('line', line => {
      this.errorLines.push(line);
      if (this.errorLines.length > MAXIMUM_ERROR_LINES) this.errorLines.shift();
    });
  }
}
