"""The bench's wire on standard input and output."""
