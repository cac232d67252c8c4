import {TypedError} from '@cardamomfield/errors';

/** Maximum length of an invalid value in an error message. */
const MAXIMUM_SHOWN_LENGTH = 200;

interface InvalidSetting {
  /** The flag or variable as the operator wrote it. */
  setting: string;
  /** Absent when the setting is missing or unknown. */
  value?: string;
  /** Description of the allowed values. */
  allowed: string;
  /** Description of the problem, for example `is not known`. */
  problem: string;
}

/** A setting is unknown, missing or has a value that is not allowed. */
export class InvalidSettingError extends TypedError {
  readonly code = 'invalid-setting';

  static create(invalid: InvalidSetting): InvalidSettingError {
    const {setting, allowed, problem} = invalid;
    const value = invalid.value && maskCredentials(invalid.value);
    const shown = value === undefined ? '' : ` "${value}"`;
    const message = `setting ${setting}${shown} ${problem}; allowed: ${allowed}`;
    return new InvalidSettingError(message, {...invalid, value});
  }
}

/** Masks the user and password of a URL, which may be secret. */
function maskCredentials(value: string): string {
  const masked = value.replace(/\/\/[^/\s]*@/g, '//***@');
  return masked.slice(0, MAXIMUM_SHOWN_LENGTH);
}
