import type {ConfigurationState} from '@cardamomfield/types';
import type {ConfigurationDelta} from './configuration_delta.js';
import {fileChange} from './file_change.js';
import type {InventoryFile} from './inventory_file.js';

interface FileOptions {
  /** Keeps items that are not in the file instead of removing them. */
  keepOthers: boolean;
}

/** Returns the change from the inventory in force to that of a file. */
export function inventoryChange(
  file: InventoryFile,
  inForce: ConfigurationState,
  options: FileOptions,
): ConfigurationDelta {
  const workers = file.workers.map(worker => ({
    ...worker,
    state: worker.state ?? inForce.workers[worker.name]?.state ?? 'active',
  }));
  return fileChange({...file, workers}, inForce, options);
}
