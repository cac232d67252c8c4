import {type ConsolaInstance, type LogObject, createConsola} from 'consola';
import type {Logger} from './logger.js';

type Fields = Readonly<Record<string, unknown>>;

/** Numeric levels of consola by name. */
const LEVELS = {error: 0, warn: 1, info: 3, debug: 4} as const;

interface ConsolaLoggerOptions {
  /** Lines less severe than this level are dropped. */
  level: keyof typeof LEVELS;
  /** One JSON object per line, or human-readable text. */
  format: 'json' | 'text';
  /** Receives each formatted line, without the line terminator. */
  write?: (line: string) => void;
}

/** Writes log lines to standard error through consola. */
export class ConsolaLogger implements Logger {
  private constructor(
    private readonly consola: ConsolaInstance,
    private readonly fields: Fields,
  ) {}

  static create(options: ConsolaLoggerOptions): ConsolaLogger {
    const write = options.write ?? writeToStandardError;
    const format = options.format === 'json' ? formatJson : formatText;
    const consola = createConsola({
      level: LEVELS[options.level],
      reporters: [{log: entry => write(format(entry))}],
    });
    return new ConsolaLogger(consola, {});
  }

  debug(message: string, fields: Fields = {}): void {
    this.consola.debug(message, {...this.fields, ...fields});
  }

  info(message: string, fields: Fields = {}): void {
    this.consola.info(message, {...this.fields, ...fields});
  }

  warn(message: string, fields: Fields = {}): void {
    this.consola.warn(message, {...this.fields, ...fields});
  }

  error(message: string, fields: Fields = {}): void {
    this.consola.error(message, {...this.fields, ...fields});
  }

  child(fields: Fields): Logger {
    return new ConsolaLogger(this.consola, {...this.fields, ...fields});
  }
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

function formatJson(entry: LogObject): string {
  const [message, fields] = entry.args as [string, Fields];
  const time = entry.date.toISOString();
  return JSON.stringify({time, level: entry.type, message, ...fields});
}

function formatText(entry: LogObject): string {
  const [message, fields] = entry.args as [string, Fields];
  const pairs = Object.entries(fields).map(
    ([name, value]) => ` ${name}=${JSON.stringify(value)}`,
  );
  const time = entry.date.toISOString();
  return `${time} ${entry.type.padEnd(5)} ${message}${pairs.join('')}`;
}
