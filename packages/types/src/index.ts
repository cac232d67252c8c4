/** Schemas and inferred types shared by all packages. */
export {};
