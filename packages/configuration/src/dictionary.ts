/**
 * A copy without a prototype, so that looking up a name such as `constructor`
 * that a caller sent finds nothing.
 */
export function dictionary<Value>(
  ...sources: ReadonlyArray<Readonly<Record<string, Value>>>
): Record<string, Value> {
  const target = Object.create(null) as Record<string, Value>;
  return Object.assign(target, ...sources) as Record<string, Value>;
}
