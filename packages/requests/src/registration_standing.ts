/**
 * Whether this process still coordinates a request: it does, another one was
 * given the key, or the registrar could not be asked.
 */
export type RegistrationStanding = 'own' | 'lost' | 'unavailable';
