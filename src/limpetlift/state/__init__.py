"""What one process decides and owns."""
