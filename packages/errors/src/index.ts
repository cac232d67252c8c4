/** The base class of all failures and the common failure types. */
export * from './typed_error.js';
export * from './to_typed_error.js';
export * from './invalid_input_error.js';
export * from './unavailable_error.js';
export * from './uncertain_error.js';
export * from './deadline_exceeded_error.js';
export * from './conflict_error.js';
export * from './not_found_error.js';
export * from './refused_error.js';
export * from './internal_error.js';
export * from './cancelled_error.js';
export * from './unauthenticated_error.js';
export * from './forbidden_error.js';
export * from './overloaded_error.js';
