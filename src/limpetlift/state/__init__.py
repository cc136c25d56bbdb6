"""State that one process holds, and the decisions that it makes."""
