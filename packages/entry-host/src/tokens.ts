/** Dependency injection tokens of the components of an entry host. */
export const TOKENS = {
  settings: Symbol('settings'),
  incarnation: Symbol('incarnation'),
  clock: Symbol('clock'),
  random: Symbol('random'),
  logger: Symbol('logger'),
  metrics: Symbol('metrics'),
  timeline: Symbol('timeline'),
  platformLog: Symbol('platformLog'),
  hostList: Symbol('hostList'),
  workerConnector: Symbol('workerConnector'),
  peerMesh: Symbol('peerMesh'),
  network: Symbol('network'),
} as const;
