/** Ejection of workers that fail everything, probing, slow start, and estimates of run times and sizes. */
export {};
