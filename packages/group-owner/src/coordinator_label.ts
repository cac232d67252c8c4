/** Between the name and the incarnation; neither contains it. */
const SEPARATOR = '/';

/** A coordinator as workers keep it, in one opaque string. */
export class CoordinatorLabel {
  private constructor(
    readonly name: string,
    readonly incarnation: string,
  ) {}

  static create(name: string, incarnation: string): CoordinatorLabel {
    return new CoordinatorLabel(name, incarnation);
  }

  /** Reads what `toString` wrote. */
  static parse(text: string): CoordinatorLabel {
    const [name = '', incarnation = ''] = text.split(SEPARATOR);
    return new CoordinatorLabel(name, incarnation);
  }

  toString(): string {
    return `${this.name}${SEPARATOR}${this.incarnation}`;
  }
}
