/** The cardamomfield command. */
export * from './command_context.js';
export * from './exit_code.js';
export * from './run_command_line.js';
