/**
 * Whether this process still coordinates a request. `own`: it does. `lost`:
 * the key is registered to another process. `unavailable`: the registrar did
 * not answer.
 */
export type RegistrationStatus = 'own' | 'lost' | 'unavailable';
