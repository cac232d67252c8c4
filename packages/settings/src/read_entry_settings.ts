import {type Either, Left, Right} from 'purify-ts';
import {Parser} from 'yargs/helpers';
import {describeSettings} from './describe_settings.js';
import {EntrySettings} from './entry_settings.js';
import {InvalidSettingError} from './invalid_setting_error.js';
import {parsePeerAddress} from './parse_peer_address.js';
import type {SettingDescription} from './setting_description.js';

const VARIABLE_PREFIX = 'CARDAMOMFIELD_';

/** Variables with this prefix that other subcommands read. */
const VARIABLES_OF_OTHER_COMMANDS: readonly string[] = ['CARDAMOMFIELD_ENTRY'];

interface Sources {
  /** Arguments after the subcommand, for example `['--region', 'a']`. */
  arguments: readonly string[];
  environment: Readonly<Record<string, string | undefined>>;
}

/** An unparsed value and the flag or variable that it came from. */
interface RawSetting {
  source: string;
  text: string;
}

type Result<Value> = Either<InvalidSettingError, Value>;

/**
 * Reads the daemon's settings. A flag takes precedence over its variable. An
 * unknown, repeated or invalid setting is an error, because a misspelled
 * setting would otherwise silently keep its default.
 */
export function readEntrySettings(sources: Sources): Result<EntrySettings> {
  const descriptions = describeSettings();
  return readVariables(sources.environment, descriptions).chain(variables =>
    readFlags(sources.arguments, descriptions).chain(flags =>
      parse(descriptions, new Map([...variables, ...flags])),
    ),
  );
}

function readVariables(
  environment: Sources['environment'],
  descriptions: SettingDescription[],
): Result<Map<string, RawSetting>> {
  const byVariable = new Map(descriptions.map(d => [d.variable, d]));
  const values = new Map<string, RawSetting>();
  for (const [variable, text] of Object.entries(environment)) {
    if (!variable.startsWith(VARIABLE_PREFIX) || text === undefined) continue;
    if (VARIABLES_OF_OTHER_COMMANDS.includes(variable)) continue;
    const description = byVariable.get(variable);
    if (!description) return Left(unknownSetting(variable, byVariable.keys()));
    values.set(description.property, {source: variable, text});
  }
  return Right(values);
}

function readFlags(
  argumentList: readonly string[],
  descriptions: SettingDescription[],
): Result<Map<string, RawSetting>> {
  const byFlag = new Map(descriptions.map(d => [d.flag, d]));
  const {_: positional, ...flags} = Parser([...argumentList], {
    string: [...byFlag.keys()],
    configuration: {
      'boolean-negation': false,
      'camel-case-expansion': false,
      'dot-notation': false,
      'parse-numbers': false,
      'parse-positional-numbers': false,
      'short-option-groups': false,
    },
  });
  const values = new Map<string, RawSetting>();
  for (const [flag, value] of Object.entries(flags)) {
    const description = byFlag.get(flag);
    const allowedFlags = [...byFlag.keys()].map(known => `--${known}`);
    if (!description) return Left(unknownSetting(`--${flag}`, allowedFlags));
    const isRepeated = Array.isArray(value);
    if (isRepeated && description.kind !== 'list') {
      return Left(repeatedFlag(description));
    }
    values.set(description.property, {
      source: `--${flag}`,
      text: isRepeated ? value.join(',') : String(value),
    });
  }
  if (positional.length > 0) return Left(unexpectedArgument(positional[0]!));
  return Right(values);
}

function parse(
  descriptions: SettingDescription[],
  rawSettings: Map<string, RawSetting>,
): Result<EntrySettings> {
  const values = descriptions.flatMap(description => {
    const entry = rawSettings.get(description.property);
    return entry
      ? [[description.property, convert(description, entry.text)]]
      : [];
  });
  const parsed = EntrySettings.safeParse(Object.fromEntries(values));
  if (parsed.success) return Right(parsed.data);
  const property = String(parsed.error.issues[0]!.path[0]);
  const description = descriptions.find(d => d.property === property)!;
  const message = parsed.error.issues[0]!.message;
  return Left(invalidValue(description, rawSettings.get(property), message));
}

/** Converts the text to the setting's kind; invalid text is returned as is. */
function convert(description: SettingDescription, text: string): unknown {
  if (description.kind === 'integer') {
    return /^\d+$/.test(text) ? Number(text) : text;
  }
  if (description.kind === 'list') {
    const parts = text.split(',').filter(part => part.trim() !== '');
    return parts.map(part => parsePeerAddress(part) ?? part);
  }
  return text;
}

function invalidValue(
  description: SettingDescription,
  rawSetting: RawSetting | undefined,
  message: string,
): InvalidSettingError {
  const {allowed, flag, variable} = description;
  if (rawSetting) {
    return InvalidSettingError.create({
      setting: rawSetting.source,
      value: rawSetting.text,
      allowed: `${allowed}. ${description.description}`,
      problem: `is not allowed (${message})`,
    });
  }
  // A default can conflict with a setting that was given, so the invalid value
  // may be a default.
  const problem = description.isRequired ? 'is missing' : message;
  return InvalidSettingError.create({
    setting: `--${flag} (${variable})`,
    ...(description.isRequired ? {} : {value: description.fallback ?? ''}),
    allowed: `${allowed}. ${description.description}`,
    problem,
  });
}

function unknownSetting(
  setting: string,
  known: Iterable<string>,
): InvalidSettingError {
  return InvalidSettingError.create({
    setting,
    problem: 'is not known',
    allowed: [...known].join(', '),
  });
}

function repeatedFlag(description: SettingDescription): InvalidSettingError {
  return InvalidSettingError.create({
    setting: `--${description.flag}`,
    problem: 'is given more than once',
    allowed: description.allowed,
  });
}

function unexpectedArgument(text: string | number): InvalidSettingError {
  return InvalidSettingError.create({
    setting: 'argument',
    value: String(text),
    problem: 'is not the value of a flag',
    allowed: 'flags of the form --name value',
  });
}
