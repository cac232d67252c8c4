/** Plain data that describes a failure to people and programs. */
type Details = Readonly<Record<string, unknown>>;

/**
 * Base of every failure in the project. The code is stable and may be matched
 * by callers; the message is for people.
 */
export abstract class TypedError extends Error {
  /** Stable identifier of the kind of failure, in lower kebab case. */
  abstract readonly code: string;

  protected constructor(
    message: string,
    readonly details: Details = {},
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = new.target.name;
  }

  /** The failure as plain data for logs and responses. */
  toJSON(): {code: string; message: string; details: Details} {
    return {code: this.code, message: this.message, details: this.details};
  }
}
