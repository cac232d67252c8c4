/** Structured fields of a log line. */
type Fields = Readonly<Record<string, unknown>>;

/** Structured logs; `child` adds fields to every line. */
export interface Logger {
  debug(message: string, fields?: Fields): void;
  info(message: string, fields?: Fields): void;
  warn(message: string, fields?: Fields): void;
  error(message: string, fields?: Fields): void;
  child(fields: Fields): Logger;
}
