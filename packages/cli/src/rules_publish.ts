import {RulesFile, rulesChange} from '@cardamomfield/configuration';
import {defineCommand} from './define_command.js';
import {publishFile} from './publish_file.js';
import {publishOptions} from './publish_options.js';

/** `cardamomfield rules publish FILE` */
export const rulesPublish = defineCommand({
  command: 'publish <file>',
  describe: 'Publish the difference between a file and the rules in force',
  example: ['rules publish rules.yaml --editor amal', 'Publish a rules file'],
  options: publishOptions,
  execute: (options, run) =>
    publishFile(run, options, {schema: RulesFile, toChange: rulesChange}),
});
