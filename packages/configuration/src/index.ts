/** Inventory and rules: acceptance, following, publishing and spreading between peers. */
export {};
