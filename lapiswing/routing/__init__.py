"""Parts of the router: its state, the pair table, seeded randomness, and what it saves for the next process."""
