import {TypedError} from '@cardamomfield/errors';

/** Longest part of a wrong value that is repeated in a message. */
const MAXIMUM_SHOWN_LENGTH = 200;

interface InvalidSetting {
  /** The flag or variable as the operator wrote it. */
  setting: string;
  /** Absent when the setting is missing or unknown. */
  value?: string;
  /** What is allowed instead. */
  allowed: string;
  /** What is wrong, for example `is not known`. */
  problem: string;
}

/** A setting is unknown, missing or has a value that is not allowed. */
export class InvalidSettingError extends TypedError {
  readonly code = 'invalid-setting';

  static create(invalid: InvalidSetting): InvalidSettingError {
    const {setting, allowed, problem} = invalid;
    const value = invalid.value && hideCredentials(invalid.value);
    const shown = value === undefined ? '' : ` "${value}"`;
    const message = `setting ${setting}${shown} ${problem}; allowed: ${allowed}`;
    return new InvalidSettingError(message, {...invalid, value});
  }
}

/** Removes the user and password of a URL, which could be a secret. */
function hideCredentials(value: string): string {
  const plain = value.replace(/\/\/[^/\s]*@/g, '//***@');
  return plain.slice(0, MAXIMUM_SHOWN_LENGTH);
}
