/** Never-runnable check, team quotas with borrowing and overload refusal. */
export {};
