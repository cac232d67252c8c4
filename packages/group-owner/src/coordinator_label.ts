/** Separates the name from the incarnation; neither contains it. */
const SEPARATOR = '/';

/** A coordinator's name and incarnation, stored on workers as one string. */
export class CoordinatorLabel {
  private constructor(
    readonly name: string,
    readonly incarnation: string,
  ) {}

  static create(name: string, incarnation: string): CoordinatorLabel {
    return new CoordinatorLabel(name, incarnation);
  }

  /** Parses the result of `toString`. */
  static parse(text: string): CoordinatorLabel {
    const [name = '', incarnation = ''] = text.split(SEPARATOR);
    return new CoordinatorLabel(name, incarnation);
  }

  toString(): string {
    return `${this.name}${SEPARATOR}${this.incarnation}`;
  }
}
