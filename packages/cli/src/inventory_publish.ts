import {InventoryFile, inventoryChange} from '@cardamomfield/configuration';
import {defineCommand} from './define_command.js';
import {publishFile} from './publish_file.js';
import {publishOptions} from './publish_options.js';

/** `cardamomfield inventory publish FILE` */
export const inventoryPublish = defineCommand({
  command: 'publish <file>',
  describe: 'Publish the difference between a file and the inventory in force',
  example: [
    'inventory publish inventory.yaml --editor amal --base 412',
    'Publish unless someone changed the same items after version 412',
  ],
  options: publishOptions,
  execute: (options, run) =>
    publishFile(run, options, {
      schema: InventoryFile,
      toChange: inventoryChange,
    }),
});
