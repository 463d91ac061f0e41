"""Claims that let a request with an idempotency key run at most once."""
