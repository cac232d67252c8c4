/** HTTP client with a time limit for each call. */
export * from './http_client.js';
