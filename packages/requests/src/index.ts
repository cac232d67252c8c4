/** Coordination of requests, from submission to final answer. */
export * from './assemble_answer.js';
export * from './hash_body.js';
export * from './intent_journal.js';
export * from './key_partitions.js';
export * from './key_registrar.js';
export * from './key_registrar_client.js';
export * from './owner_chooser.js';
export * from './ownership_view.js';
export * from './request_coordinator.js';
export * from './submission_checker.js';
export * from './task_finder.js';
