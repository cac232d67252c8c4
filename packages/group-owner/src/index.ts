/** The owner's side of a worker group: sessions with workers, reservations, dispatch, leases and recovery. */
export {};
