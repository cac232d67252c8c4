import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationDelta} from './configuration_delta.js';
import {fileChange} from './file_change.js';
import type {RulesFile} from './rules_file.js';

interface FileOptions {
  /** Keeps rules that are not in the file instead of removing them. */
  keepOthers: boolean;
}

/** Returns the change from the rules in force to those of a file. */
export function rulesChange(
  file: RulesFile,
  inForce: ConfigurationState,
  options: FileOptions,
): ConfigurationDelta {
  return fileChange(file, inForce, options);
}
