"""What processes agree on: placement, membership, store, configuration."""
