/** Capacity index, placement policies, queues, gangs and preemption. */
export {};
