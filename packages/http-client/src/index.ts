/** HTTP calls with a time limit each. */
export * from './http_client.js';
