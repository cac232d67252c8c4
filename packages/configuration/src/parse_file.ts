import {InvalidInputError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {type Document, LineCounter, isNode, parseDocument} from 'yaml';
import type {z} from 'zod';
import type {FileProblem} from './file_problem.js';

type Path = ReadonlyArray<string | number>;

interface FileText {
  /** File name for error messages. */
  name: string;
  text: string;
}

/**
 * Parses a YAML or JSON file and checks it against a schema. The error names
 * the file, and its details list every problem with line, path and cause.
 */
export function parseFile<Value>(
  schema: z.ZodType<Value>,
  {name, text}: FileText,
): Either<InvalidInputError, Value> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0) {
    const problems = document.errors.map(error => ({
      line: lines.linePos(error.pos[0]).line,
      path: '',
      cause: error.message.split('\n')[0]!,
    }));
    return Left(toError(name, problems));
  }
  const parsed = schema.safeParse(toPlainValue(document));
  const problems = parsed.success
    ? findRepeatedNames(parsed.data)
    : parsed.error.issues.map(issue => ({
        path: issue.path as Path,
        cause: issue.message,
      }));
  if (parsed.success && problems.length === 0) return Right(parsed.data);
  const located = problems.map(({path, cause}) => ({
    line: lineOf(document, lines, path),
    path: formatPath(path),
    cause,
  }));
  return Left(toError(name, located));
}

/** The document's value; undefined when an alias has no anchor. */
function toPlainValue(document: Document): unknown {
  try {
    // The alias count is not limited: the files come from the operator, and all
    // items of a long list may use the same anchor.
    return document.toJS({maxAliasCount: -1}) as unknown;
  } catch {
    return undefined;
  }
}

/** Reports every item that has the name of an earlier item of its list. */
function findRepeatedNames(value: unknown): Array<{path: Path; cause: string}> {
  const lists = Object.entries(value as Record<string, unknown>);
  return lists.flatMap(([kind, items]) => {
    const names = (items as Array<{name: string}>).map(item => item.name);
    return names.flatMap((name, index) => {
      const first = names.indexOf(name);
      const cause = `${name} is already at ${kind}[${first}]`;
      return first === index ? [] : [{path: [kind, index, 'name'], cause}];
    });
  });
}

/** Line of the value at the path, or of the nearest value that contains it. */
function lineOf(
  document: Document,
  lines: LineCounter,
  path: Path,
): number | undefined {
  for (let length = path.length; length >= 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return undefined;
}

function formatPath(path: Path): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? part : `${text}.${part}`;
  }, '');
}

function toError(name: string, problems: FileProblem[]): InvalidInputError {
  const lines = problems.map(({line, path, cause}) => {
    const location = line === undefined ? name : `${name}:${line}`;
    return path === ''
      ? `${location}: ${cause}`
      : `${location}: ${path}: ${cause}`;
  });
  return InvalidInputError.create(lines.join('\n'), {file: name, problems});
}
